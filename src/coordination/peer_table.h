#pragma once

#include <deque>
#include <map>
#include <optional>
#include <span>

#include "coordination/messages.h"
#include "state/types.h"

namespace snipehall {

// What the heartbeats of one peer show. Everything but `last_heard` is about
// the peer's present incarnation.
struct PeerView {
  struct Read {
    MonotonicTime known;  // When this instance learned of it.
    LogOffset offset = 0;
  };

  Incarnation incarnation = 0;
  MonotonicTime first_heard;
  MonotonicTime last_heard;
  // Send time of the newest own heartbeat that the peer answered.
  std::optional<MonotonicTime> answered;
  // From the newest answer.
  LogOffset answered_offset = 0;
  bool confirmed = false;
  bool leaving = false;
  // Rising offsets that the peer is known to have read.
  std::deque<Read> reads;
  // Bounds on the ends of the leases that the peer reports.
  std::map<TargetId, MonotonicTime, std::less<>> lease_ends;

  LogOffset offset() const { return reads.empty() ? 0 : reads.back().offset; }
  // When this instance learned that the peer had read `offset`.
  std::optional<MonotonicTime> KnownToHaveRead(LogOffset offset) const;
};

// Collects heartbeats. Also holds this instance's own progress, so that it
// counts as a member like the others.
class PeerTable {
 public:
  PeerTable(InstanceId self, Incarnation incarnation, int drift_per_mille);

  // A message that a peer sent on its own account, of unknown age.
  void OnHeartbeat(MonotonicTime now, const Heartbeat& heartbeat);
  void OnAnswer(MonotonicTime sent, MonotonicTime now, const Heartbeat& answer);
  // Notes that this instance runs at `now` and has folded up to `offset`.
  void NoteSelf(MonotonicTime now, LogOffset offset);

  const PeerView* Find(std::string_view peer) const;
  const std::map<InstanceId, PeerView, std::less<>>& peers() const {
    return m_peers;
  }

  bool IsSilent(std::string_view peer,
                MonotonicTime now,
                std::chrono::nanoseconds limit) const;

  // Whether there was a moment at which a majority of `members` had read
  // `offset` at once. Two answers of one incarnation, before and after that
  // moment, are needed from each, since a member that restarts forgets.
  bool MajorityHasRead(std::span<const InstanceId> members,
                       LogOffset offset) const;

 private:
  PeerView& Update(MonotonicTime now, const Heartbeat& heartbeat);

  InstanceId m_self;
  int m_drift_per_mille;
  std::map<InstanceId, PeerView, std::less<>> m_peers;
};

}  // namespace snipehall
