#include "coordination/poison_request_detector.h"

#include <algorithm>
#include <tuple>

namespace snipehall {

void PoisonRequestDetector::Block(MonotonicTime now, Suspect& suspect) {
  suspect.was_blocked = true;
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
           std::tie(it->second.was_blocked, it->second.last_loss_at) <
               std::tie(oldest->second.was_blocked,
                        oldest->second.last_loss_at))) {
        oldest = it;
      }
    }
    m_suspects.erase(oldest);
  }
  return m_suspects.at(digest);
}

bool PoisonRequestDetector::OnTargetLost(MonotonicTime now, const Loss& loss) {
  if (IsRefuted(loss.lost_at, loss.digest)) {
    return false;
  }
  Suspect& suspect = FindOrAdd(now, loss.digest);
  if (now >= suspect.expires_at) {
    suspect = Suspect();
  }
  if (loss.number != 0) {
    if (std::find(suspect.numbers.begin(), suspect.numbers.end(),
                  loss.number) != suspect.numbers.end()) {
      return false;
    }
    suspect.numbers.push_back(loss.number);
    if (suspect.numbers.size() > kMaxReported) {
      suspect.numbers.pop_front();
    }
  }
  // Targets that were at work at the same time may have been lost together.
  const bool overlaps = std::any_of(
      suspect.losses.begin(), suspect.losses.end(), [&loss](const Loss& known) {
        return loss.sent_at < known.lost_at && known.sent_at < loss.lost_at;
      });
  if (overlaps || now < suspect.blocked_until) {
    return false;
  }
  if (suspect.losses.size() < kMaxCrashes) {
    suspect.losses.push_back(loss);
  }
  suspect.last_loss_at = std::max(suspect.last_loss_at, loss.lost_at);
  if (!suspect.was_blocked && suspect.losses.size() < kMaxCrashes) {
    suspect.expires_at = now + kSuspicionLifetime;
    return false;
  }
  Block(now, suspect);
  return true;
}

std::vector<PoisonRequestDetector::Loss> PoisonRequestDetector::RecentLosses(
    MonotonicTime now,
    MonotonicTime since) const {
  std::vector<Loss> recent;
  for (const auto& [digest, suspect] : m_suspects) {
    if (now < suspect.blocked_until) {
      continue;
    }
    for (const Loss& loss : suspect.losses) {
      if (loss.lost_at >= since && recent.size() < kMaxReported) {
        recent.push_back(loss);
      }
    }
  }
  return recent;
}

bool PoisonRequestDetector::OnResponse(MonotonicTime now,
                                       RequestDigest digest) {
  return m_suspects.contains(digest) && OnHarmless(now, digest);
}

bool PoisonRequestDetector::OnHarmless(MonotonicTime now,
                                       RequestDigest digest) {
  const bool suspected = m_suspects.erase(digest) > 0;
  m_answered_at.insert_or_assign(digest, now);
  if (m_answered_at.size() > kMaxRequests) {
    m_answered_at.erase(std::min_element(
        m_answered_at.begin(), m_answered_at.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  return suspected;
}

bool PoisonRequestDetector::OnBlocked(MonotonicTime now, RequestDigest digest) {
  if (IsRefuted(now - kRefutationTime, digest)) {
    return false;
  }
  Suspect& suspect = FindOrAdd(now, digest);
  suspect.last_loss_at = std::max(suspect.last_loss_at, now);
  if (now >= suspect.blocked_until) {
    Block(now, suspect);
  }
  return true;
}

bool PoisonRequestDetector::OnBlockReported(MonotonicTime now,
                                            RequestDigest digest) {
  const auto found = m_suspects.find(digest);
  if (found != m_suspects.end() && found->second.was_blocked) {
    return true;
  }
  return OnBlocked(now, digest);
}

bool PoisonRequestDetector::IsRefuted(MonotonicTime time,
                                      RequestDigest digest) const {
  const auto found = m_answered_at.find(digest);
  return found != m_answered_at.end() && found->second >= time;
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
