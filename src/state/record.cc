#include "state/record.h"

#include <algorithm>
#include <iterator>

namespace snipehall {

const OwnedRange* ServiceAssignment::Find(std::uint64_t hash) const {
  const auto next =
      std::upper_bound(ranges.begin(), ranges.end(), hash,
                       [](std::uint64_t value, const OwnedRange& entry) {
                         return value < entry.range.first;
                       });
  if (next == ranges.begin()) {
    return nullptr;
  }
  const OwnedRange& entry = *std::prev(next);
  return entry.range.Contains(hash) ? &entry : nullptr;
}

}  // namespace snipehall
