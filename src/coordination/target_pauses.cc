#include "coordination/target_pauses.h"

#include <algorithm>

namespace snipehall {

void TargetPauses::OnPause(MonotonicTime now,
                           std::string_view target,
                           Milliseconds pause) {
  const MonotonicTime end = now + std::min(pause, kMaxPause);
  const auto [found, added] = m_ends.try_emplace(TargetId(target), end);
  found->second = std::max(found->second, end);
}

Milliseconds TargetPauses::Remaining(MonotonicTime now,
                                     std::string_view target) const {
  const auto found = m_ends.find(target);
  if (found == m_ends.end() || now >= found->second) {
    return Milliseconds(0);
  }
  return std::chrono::ceil<Milliseconds>(found->second - now);
}

}  // namespace snipehall
