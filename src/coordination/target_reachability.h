#pragma once

#include "state/types.h"

namespace snipehall {

// Detects that an instance reaches none of a service's targets, although
// callers, the log and the other instances may still reach it. A failed
// connection or a silent target proves nothing, so it asks for probes of
// several targets, and the instance counts as cut off when all of them fail.
// Only new connections show that targets can be reached: old ones may live on
// while new ones are refused, or hang.
class TargetReachability {
 public:
  // Number of targets that are probed at once before the instance counts as cut
  // off.
  static constexpr int kConfirmingProbes = 6;
  // Minimum interval between two rounds of probes.
  static constexpr Milliseconds kProbeInterval{400};
  // Time without a response to requests in progress after which one target is
  // probed. Longer than most requests take.
  static constexpr Milliseconds kSilenceTime{1000};

  // Call when a new connection to a target was made.
  void OnConnected(MonotonicTime now);
  // Call when a connection to a target that was begun at `began_at` could not
  // be made, or an order sent then got no response.
  void OnConnectFailed(MonotonicTime began_at);

  // Call when a request is sent to a target, and when that exchange has ended,
  // with true if the target has sent anything.
  void OnRequestSent(MonotonicTime now);
  void OnRequestEnded(MonotonicTime now, bool has_response);

  // Number of targets, chosen at random, that are to be probed now.
  int ProbesDue(MonotonicTime now) const;
  // Call when a round of `count` probes begins, and when each has ended. If
  // `confirming`, the instance counts as cut off when all fail.
  void OnProbesStarted(MonotonicTime now, int count, bool confirming);
  void OnProbeEnded(MonotonicTime now, bool connected);

  // Whether the instance reaches none of the targets.
  bool cut_off() const { return m_cut_off; }

 private:
  bool m_cut_off = false;
  // A connection failed, and none has been made since it was begun.
  bool m_suspected = false;
  MonotonicTime m_connected_at;
  // Requests in progress, and when the last response came or the first of them
  // was sent.
  int m_requests = 0;
  MonotonicTime m_heard_at;
  int m_probes = 0;
  bool m_confirming = false;
  MonotonicTime m_round_began_at;
};

}  // namespace snipehall
