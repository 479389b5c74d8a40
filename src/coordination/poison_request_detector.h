#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "state/types.h"

namespace snipehall {

// Detects poison requests: those that crash every target which runs them. A
// request is identified by its digest, since each repeat has another ID.
//
// A crash alone proves nothing: it may have another reason, with many requests
// at work. But a request after whose delivery three targets crashed, no two of
// them at work on it at the same time, is blocked. A response shows that the
// request is harmless: it refutes all losses before it, also those that are
// reported later.
//
// After a time that doubles with each further crash, a blocked request may be
// sent once more. Used by each instance for its own observations, and by the
// leader for those of all instances.
class PoisonRequestDetector {
 public:
  // Number of lost targets from which on a request is blocked.
  static constexpr std::size_t kMaxCrashes = 3;
  // Time without a loss after which a request that is not blocked is forgotten.
  static constexpr Milliseconds kSuspicionLifetime{120000};
  // How long a request is blocked at first, and at most.
  static constexpr Milliseconds kInitialBlockTime{300000};
  static constexpr Milliseconds kMaxBlockTime{3600000};
  // Maximum number of requests that are remembered; beyond it, the one whose
  // last loss is the longest ago is forgotten, those that were blocked last.
  static constexpr std::size_t kMaxRequests = 1000;
  // Maximum number of digests that BlockedRequests() returns, and of losses
  // that RecentLosses() returns.
  static constexpr std::size_t kMaxReported = 64;
  // Time after a response in which reports that the request is blocked are
  // taken for outdated.
  static constexpr Milliseconds kRefutationTime{10000};

  // A target crashed while it was at work on a request.
  struct Loss {
    RequestDigest digest = 0;
    // When the request was sent to the target, and when the connection ended.
    MonotonicTime sent_at;
    MonotonicTime lost_at;
    // Identifies the loss among those of the request, at all instances; zero if
    // it is not known. The times differ in each report.
    std::uint64_t number = 0;
  };

  // Call for each loss, in any order; reporting one again changes nothing.
  // Returns whether that blocks the request.
  bool OnTargetLost(MonotonicTime now, const Loss& loss);
  // Call when a target has responded to the request. Returns whether it was
  // suspected.
  bool OnResponse(MonotonicTime now, RequestDigest digest);
  // Call when another instance reports that a target has responded to the
  // request, whether or not it is suspected here. Returns whether it was.
  bool OnHarmless(MonotonicTime now, RequestDigest digest);
  // Call when the leader reports that the request is blocked. Returns false,
  // and changes nothing, if a response has refuted that.
  bool OnBlocked(MonotonicTime now, RequestDigest digest);
  // The same on the leader, for the report of another instance. A block that
  // has expired here is not renewed: it began later at that instance.
  bool OnBlockReported(MonotonicTime now, RequestDigest digest);

  // Whether the request must not be sent.
  bool IsBlocked(MonotonicTime now, RequestDigest digest) const;
  bool IsSuspected(RequestDigest digest) const {
    return m_suspects.contains(digest);
  }
  // Whether no request is suspected or blocked, so that the digests of requests
  // need not be computed.
  bool empty() const { return m_suspects.empty(); }
  std::size_t size() const { return m_suspects.size(); }

  // The requests that are blocked now, those with the latest losses first.
  std::vector<RequestDigest> BlockedRequests(MonotonicTime now) const;
  // Losses since `since` of requests that are not blocked.
  std::vector<Loss> RecentLosses(MonotonicTime now, MonotonicTime since) const;

 private:
  struct Suspect {
    // Losses that count, at most kMaxCrashes.
    std::vector<Loss> losses;
    // Numbers of the last losses, also of those that do not count.
    std::deque<std::uint64_t> numbers;
    // A loss blocks the request again after it was blocked once.
    bool was_blocked = false;
    MonotonicTime last_loss_at;
    MonotonicTime blocked_until;
    Milliseconds block_time = kInitialBlockTime;
    // When the request is forgotten.
    MonotonicTime expires_at;
  };

  static void Block(MonotonicTime now, Suspect& suspect);
  // Returns the request, which it adds if it is not known.
  Suspect& FindOrAdd(MonotonicTime now, RequestDigest digest);

  // Whether a target has responded to the request at `time` or later.
  bool IsRefuted(MonotonicTime time, RequestDigest digest) const;

  std::unordered_map<RequestDigest, Suspect> m_suspects;
  // Time of the last response to requests that were suspected, at most
  // kMaxRequests.
  std::unordered_map<RequestDigest, MonotonicTime> m_answered_at;
};

}  // namespace snipehall
