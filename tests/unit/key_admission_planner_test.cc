#include "coordination/key_admission_planner.h"

#include <vector>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{std::chrono::seconds(1000)};

KeyAssignment Range(KeyNumber first, KeyNumber last, const TargetId& owner) {
  KeyAssignment range;
  range.first = first;
  range.last = last;
  range.owner = owner;
  return range;
}

// Reports `rate` requests per second for the key until the estimate is steady.
void Report(KeyLoad& load, KeyNumber key, int rate) {
  for (int second = 0; second < 20; ++second) {
    KeyLoadReport report;
    report.keys = std::vector<KeyNumber>(static_cast<std::size_t>(rate), key);
    load.OnReport(kStart + std::chrono::seconds(second), report);
  }
}

// Load: a hot key beside usual ones. An owner with 4 slots and 150 ms for a
// request serves 24 requests per second at kMaxUtilization.
Test(key_admission_planner, only_the_hot_key_of_an_owner_is_limited) {
  const std::vector<KeyAssignment> ranges = {Range(0, 99, "a"),
                                             Range(100, kLastKey, "b")};
  const std::vector<KeyCandidate> owners = {{"a", 0, 4}, {"b", 0, 4}};
  KeyLoad load;
  Report(load, 7, 200);
  Report(load, 8, 2);
  Report(load, 9, 4);
  Report(load, 500, 10);
  const MonotonicTime now = kStart + std::chrono::seconds(19);
  const KeyFractions busy =
      KeyAdmissionPlanner::Plan(now, ranges, owners, load);
  cr_assert(busy.size() == 1 && busy.contains(7), "%zu busy keys", busy.size());
  double admitted = 0;
  for (const auto& [key, rate] : load.Rates(now, 0, 99)) {
    const auto found = busy.find(key);
    admitted += rate * (found == busy.end() ? 1 : found->second);
  }
  const double capacity = KeyAdmissionPlanner::kMaxUtilization * 4 /
                          KeyLoad::kDefaultServiceSeconds;
  cr_assert(admitted <= capacity * 1.01 && admitted >= capacity * 0.9,
            "%f requests per second for a capacity of %f", admitted, capacity);
}

Test(key_admission_planner, equal_keys_share_the_owner_equally) {
  const std::vector<KeyAssignment> ranges = {Range(0, kLastKey, "a")};
  const std::vector<KeyCandidate> owners = {{"a", 0, 4}};
  KeyLoad load;
  for (KeyNumber key = 0; key < 400; ++key) {
    Report(load, key, 3);
  }
  const KeyFractions busy = KeyAdmissionPlanner::Plan(
      kStart + std::chrono::seconds(19), ranges, owners, load);
  cr_assert(!busy.empty() && busy.size() <= KeyAdmissionPlanner::kMaxKeys,
            "%zu busy keys", busy.size());
}

}  // namespace
}  // namespace snipehall
