#include "coordination/poison_request_detector.h"

#include <algorithm>

namespace snipehall {

void PoisonRequestDetector::Block(MonotonicTime now, Suspect& suspect) {
  suspect.blocked_until = now + suspect.block_time;
  // Kept beyond that time, so that one more loss blocks the request again.
  suspect.expires_at = suspect.blocked_until + kMaxBlockTime;
  suspect.block_time = std::min(suspect.block_time * 2, kMaxBlockTime);
}

PoisonRequestDetector::Suspect& PoisonRequestDetector::FindOrAdd(
    MonotonicTime now,
    RequestDigest digest) {
  const auto [found, added] = m_suspects.try_emplace(digest);
  if (!added) {
    return found->second;
  }
  found->second.last_loss_at = MonotonicTime::min();
  found->second.expires_at = now + kSuspicionLifetime;
  std::erase_if(m_suspects, [now, digest](const auto& item) {
    return item.first != digest && now >= item.second.expires_at;
  });
  if (m_suspects.size() > kMaxRequests) {
    auto oldest = m_suspects.end();
    for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it) {
      if (it->first != digest &&
          (oldest == m_suspects.end() ||
           it->second.last_loss_at < oldest->second.last_loss_at)) {
        oldest = it;
      }
    }
    m_suspects.erase(oldest);
  }
  return m_suspects.at(digest);
}

bool PoisonRequestDetector::OnTargetLost(MonotonicTime now,
                                         RequestDigest digest,
                                         MonotonicTime sent_at) {
  Suspect& suspect = FindOrAdd(now, digest);
  if (now >= suspect.expires_at) {
    suspect = Suspect();
  }
  // Requests that were sent before the loss of another target may have been
  // lost with it.
  if (suspect.crashes > 0 && sent_at < suspect.last_loss_at) {
    return false;
  }
  ++suspect.crashes;
  suspect.last_loss_at = now;
  if (suspect.crashes < kMaxCrashes) {
    suspect.expires_at = now + kSuspicionLifetime;
    return false;
  }
  const bool was_blocked = now < suspect.blocked_until;
  if (!was_blocked) {
    Block(now, suspect);
  }
  return !was_blocked;
}

bool PoisonRequestDetector::OnResponse(RequestDigest digest) {
  return m_suspects.erase(digest) > 0;
}

void PoisonRequestDetector::OnBlocked(MonotonicTime now, RequestDigest digest) {
  Suspect& suspect = FindOrAdd(now, digest);
  suspect.crashes = std::max(suspect.crashes, kMaxCrashes);
  suspect.last_loss_at = std::max(suspect.last_loss_at, now);
  if (now >= suspect.blocked_until) {
    Block(now, suspect);
  }
}

bool PoisonRequestDetector::IsBlocked(MonotonicTime now,
                                      RequestDigest digest) const {
  const auto found = m_suspects.find(digest);
  return found != m_suspects.end() && now < found->second.blocked_until;
}

std::vector<RequestDigest> PoisonRequestDetector::BlockedRequests(
    MonotonicTime now) const {
  std::vector<std::pair<MonotonicTime, RequestDigest>> blocked;
  for (const auto& [digest, suspect] : m_suspects) {
    if (now < suspect.blocked_until) {
      blocked.emplace_back(suspect.last_loss_at, digest);
    }
  }
  std::sort(blocked.rbegin(), blocked.rend());
  std::vector<RequestDigest> digests;
  for (const auto& [last_loss_at, digest] : blocked) {
    if (digests.size() == kMaxReported) {
      break;
    }
    digests.push_back(digest);
  }
  return digests;
}

}  // namespace snipehall
