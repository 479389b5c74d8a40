#include "state/key_table.h"

#include <algorithm>

namespace snipehall {

namespace {

// Calls `visit(left, right, last)` for each longest sequence of keys that each
// of the two divisions assigns by one range, in ascending order; `last` is its
// last key. Does nothing when one of them is empty.
template <typename Visit>
void VisitOverlaps(std::span<const KeyAssignment> left,
                   std::span<const KeyAssignment> right,
                   Visit visit) {
  auto left_range = left.begin();
  auto right_range = right.begin();
  while (left_range != left.end() && right_range != right.end()) {
    const KeyNumber last = std::min(left_range->last, right_range->last);
    visit(*left_range, *right_range, last);
    left_range += left_range->last == last ? 1 : 0;
    right_range += right_range->last == last ? 1 : 0;
  }
}

bool IsNewer(const KeyAssignment& left, const KeyAssignment& right) {
  return left.fencing_token > right.fencing_token ||
         (left.fencing_token == right.fencing_token && right.moving());
}

}  // namespace

std::vector<KeyAssignment> MergeAssignments(
    std::span<const KeyAssignment> left,
    std::span<const KeyAssignment> right) {
  if (left.empty() || right.empty()) {
    const auto& ranges = left.empty() ? right : left;
    return {ranges.begin(), ranges.end()};
  }
  std::vector<KeyAssignment> merged;
  KeyNumber first = 0;
  VisitOverlaps(left, right,
                [&](const KeyAssignment& left_range,
                    const KeyAssignment& right_range, KeyNumber last) {
                  KeyAssignment newer = IsNewer(right_range, left_range)
                                            ? right_range
                                            : left_range;
                  newer.first = first;
                  newer.last = last;
                  first = last + 1;
                  if (!merged.empty() &&
                      merged.back().fencing_token == newer.fencing_token &&
                      merged.back().moving() == newer.moving()) {
                    merged.back().last = last;
                  } else {
                    merged.push_back(std::move(newer));
                  }
                });
  return merged;
}

bool HasNewerAssignments(const KeyTable& known, const KeyTable& table) {
  return std::any_of(
      known.services.begin(), known.services.end(), [&](const auto& item) {
        const auto found = table.services.find(item.first);
        bool newer = found == table.services.end() && !item.second.empty();
        if (found != table.services.end()) {
          VisitOverlaps(item.second, found->second,
                        [&](const KeyAssignment& left,
                            const KeyAssignment& right, KeyNumber /*last*/) {
                          newer =
                              newer || left.fencing_token > right.fencing_token;
                        });
        }
        return newer;
      });
}

void MergeServices(KeyTable& table, const KeyTable& other) {
  for (const auto& [service, ranges] : other.services) {
    std::vector<KeyAssignment>& merged = table.services[service];
    merged = MergeAssignments(merged, ranges);
  }
}

const KeyAssignment* KeyTable::Find(std::string_view service,
                                    KeyNumber key) const {
  const auto found = services.find(service);
  if (found == services.end()) {
    return nullptr;
  }
  const auto after =
      std::upper_bound(found->second.begin(), found->second.end(), key,
                       [](KeyNumber number, const KeyAssignment& item) {
                         return number < item.first;
                       });
  if (after == found->second.begin()) {
    return nullptr;
  }
  const KeyAssignment& item = *(after - 1);
  return key <= item.last ? &item : nullptr;
}

}  // namespace snipehall
