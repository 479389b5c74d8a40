#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "state/types.h"

namespace snipehall {

// Detects poison requests: those that crash every target which runs them. A
// request is identified by its digest, since each repeat has another ID.
//
// A lost response alone proves nothing: the target may have crashed for another
// reason, with many requests at work. But a request after whose delivery three
// targets were lost, each delivery sent after the loss before, is blocked. A
// response shows that the request is harmless.
//
// After a time that doubles with each further crash, a blocked request may be
// sent once more. Used by each instance for its own observations, and by the
// leader for those of all instances.
class PoisonRequestDetector {
 public:
  // Number of lost targets from which on a request is blocked.
  static constexpr int kMaxCrashes = 3;
  // Time without a loss after which a request that is not blocked is forgotten.
  static constexpr Milliseconds kSuspicionLifetime{120000};
  // How long a request is blocked at first, and at most.
  static constexpr Milliseconds kInitialBlockTime{300000};
  static constexpr Milliseconds kMaxBlockTime{3600000};
  // Maximum number of requests that are remembered; beyond it, the one whose
  // last loss is the longest ago is forgotten.
  static constexpr std::size_t kMaxRequests = 1000;
  // Maximum number of digests that BlockedRequests() returns.
  static constexpr std::size_t kMaxReported = 64;

  // Call when the connection to a target ended without a response to the
  // request, which was sent to it at `sent_at`. Returns whether that blocks the
  // request.
  bool OnTargetLost(MonotonicTime now,
                    RequestDigest digest,
                    MonotonicTime sent_at);
  // Call when a target has responded to the request. Returns whether it was
  // suspected.
  bool OnResponse(RequestDigest digest);
  // Call when the leader reports that the request is blocked.
  void OnBlocked(MonotonicTime now, RequestDigest digest);

  // Whether the request must not be sent.
  bool IsBlocked(MonotonicTime now, RequestDigest digest) const;
  // Whether no request is suspected or blocked, so that the digests of requests
  // need not be computed.
  bool empty() const { return m_suspects.empty(); }
  std::size_t size() const { return m_suspects.size(); }

  // The requests that are blocked now, those with the latest losses first.
  std::vector<RequestDigest> BlockedRequests(MonotonicTime now) const;

 private:
  struct Suspect {
    int crashes = 0;
    MonotonicTime last_loss_at;
    MonotonicTime blocked_until;
    Milliseconds block_time = kInitialBlockTime;
    // When the request is forgotten.
    MonotonicTime expires_at;
  };

  static void Block(MonotonicTime now, Suspect& suspect);
  // Returns the request, which it adds if it is not known.
  Suspect& FindOrAdd(MonotonicTime now, RequestDigest digest);

  std::unordered_map<RequestDigest, Suspect> m_suspects;
};

}  // namespace snipehall
