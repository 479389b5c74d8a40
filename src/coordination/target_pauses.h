#pragma once

#include <map>
#include <string_view>

#include "state/types.h"

namespace snipehall {

// The targets that have asked this instance, with a refusal, to send them no
// requests for some time. Each instance keeps its own: a target tells each
// instance for itself.
class TargetPauses {
 public:
  // Longest time for which a target is believed.
  static constexpr Milliseconds kMaxPause{600000};

  // Call when the target has asked for `pause`, which is not negative.
  void OnPause(MonotonicTime now, std::string_view target, Milliseconds pause);

  // Time until the target may be sent requests again; zero if it may now.
  Milliseconds Remaining(MonotonicTime now, std::string_view target) const;

  // Forgets the targets for which `is_known` returns false, and pauses that
  // have ended.
  template <typename Predicate>
  void Retain(MonotonicTime now, Predicate is_known) {
    std::erase_if(m_ends, [&](const auto& item) {
      return now >= item.second || !is_known(item.first);
    });
  }

 private:
  std::map<TargetId, MonotonicTime, std::less<>> m_ends;
};

}  // namespace snipehall
