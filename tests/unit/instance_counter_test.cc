#include "coordination/instance_counter.h"

#include <optional>
#include <string>

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

constexpr Milliseconds kReportInterval{400};

void Report(InstanceCounter& counter, MonotonicTime now, int first, int last) {
  for (int i = first; i <= last; ++i) {
    counter.OnReport(now, "instance-" + std::to_string(i));
  }
}

Test(instance_counter, leader_that_has_just_started_knows_no_number) {
  InstanceCounter counter;
  const MonotonicTime start;
  cr_assert(!counter.Count(start).has_value());
  Report(counter, start, 1, 1);
  cr_assert(!counter.Count(start).has_value());
  Report(counter, start + kReportInterval, 2, 8);
  cr_assert(counter.Count(start + InstanceCounter::kSettleTime) == 8);
}

Test(instance_counter, new_leader_counts_no_fewer_than_its_predecessor) {
  InstanceCounter counter;
  const MonotonicTime start;
  counter.OnLeaderCount(8);
  Report(counter, start, 1, 2);
  cr_assert(counter.Count(start) == 8);
  const MonotonicTime later = start + InstanceCounter::kReportLifetime;
  Report(counter, later, 1, 7);
  cr_assert(counter.Count(later) == 7);
}

Test(instance_counter, instance_that_restarts_stays_counted) {
  InstanceCounter counter;
  const MonotonicTime start;
  Report(counter, start, 1, 8);
  const MonotonicTime later = start + Milliseconds(4000);
  Report(counter, later, 1, 7);
  cr_assert(counter.Count(later) == 8);
  const MonotonicTime removed =
      start + InstanceCounter::kReportLifetime + Milliseconds(1);
  Report(counter, removed, 1, 7);
  cr_assert(counter.Count(removed) == 7);
}

Test(instance_counter, instance_that_lost_the_lead_uses_the_new_leaders_count) {
  InstanceCounter counter;
  const MonotonicTime start;
  Report(counter, start, 1, 3);
  counter.OnLeaderCount(8);
  cr_assert(counter.Count(start + InstanceCounter::kReportLifetime) == 8);
}

}  // namespace
}  // namespace snipehall::test
