#pragma once

#include <deque>
#include <map>
#include <optional>
#include <span>

#include "coordination/messages.h"
#include "state/types.h"

namespace snipehall {

// What is known from one peer's heartbeats. Everything except `last_heard`
// refers to the peer's current incarnation.
struct PeerStatus {
  struct Read {
    MonotonicTime known;  // When this instance learned of it.
    LogOffset offset = 0;
  };

  Incarnation incarnation = 0;
  MonotonicTime first_heard;
  MonotonicTime last_heard;
  // Send time of this instance's latest heartbeat that the peer answered.
  std::optional<MonotonicTime> answered;
  // From the latest answer.
  LogOffset answered_offset = 0;
  bool confirmed = false;
  bool leaving = false;
  // Offsets that the peer is known to have read, ascending.
  std::deque<Read> reads;
  // Upper bounds on the ends of the leases that the peer reported.
  std::map<TargetId, MonotonicTime, std::less<>> lease_ends;

  LogOffset offset() const { return reads.empty() ? 0 : reads.back().offset; }
  // Returns when this instance learned that the peer had read `offset`; empty
  // if that is not known.
  std::optional<MonotonicTime> ReadKnownAt(LogOffset offset) const;
};

// Collects heartbeats of peers. Also tracks the progress of this instance, so
// that it counts as a member like the others.
class PeerTable {
 public:
  PeerTable(InstanceId self, Incarnation incarnation, int max_drift_per_mille);

  // Handles a heartbeat sent by a peer. Its age is unknown, so it does not
  // confirm anything.
  void OnHeartbeat(MonotonicTime now, const Heartbeat& heartbeat);
  // Handles the answer to a heartbeat that was sent at `sent`.
  void OnAnswer(MonotonicTime sent, MonotonicTime now, const Heartbeat& answer);
  // Records that this instance is running at `now` and has applied the log up
  // to `offset`.
  void UpdateSelf(MonotonicTime now, LogOffset offset);

  // Returns what is known of the peer, or null if it was never heard from.
  const PeerStatus* Find(std::string_view peer) const;
  const std::map<InstanceId, PeerStatus, std::less<>>& peers() const {
    return m_peers;
  }

  // Whether the peer was not heard from for longer than `limit`.
  bool IsUnresponsive(std::string_view peer,
                      MonotonicTime now,
                      std::chrono::nanoseconds limit) const;

  // Whether there was a moment at which a majority of `members` had read
  // `offset`. Requires two answers of the same incarnation from each member,
  // one before and one after that moment, because a member that restarts loses
  // what it has read.
  bool MajorityHasRead(std::span<const InstanceId> members,
                       LogOffset offset) const;

 private:
  PeerStatus& Update(MonotonicTime now, const Heartbeat& heartbeat);

  InstanceId m_self;
  int m_max_drift_per_mille;
  std::map<InstanceId, PeerStatus, std::less<>> m_peers;
};

}  // namespace snipehall
