#include "coordination/target_registry.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

const MonotonicTime kStart = MonotonicTime(std::chrono::hours(1));

ListedTarget Entry(std::uint64_t report, std::int64_t start_time_ms = 1) {
  ListedTarget target;
  target.id = "a";
  target.service = "catalog";
  target.address = "127.0.0.1:8000";
  target.report_sequence = report;
  target.start_time_ms = start_time_ms;
  return target;
}

// Reads a page with one change.
void Read(TargetRegistry& registry,
          MonotonicTime now,
          std::optional<ListedTarget> entry) {
  TargetRegistry::Changes changes;
  changes.emplace("a", std::move(entry));
  registry.OnRead(now, std::move(changes), false);
}

Test(target_registry, entry_that_goes_ends_its_target) {
  TargetRegistry registry;
  Read(registry, kStart, Entry(1));
  Read(registry, kStart + Milliseconds(800), std::nullopt);
  cr_assert(registry.targets().empty());
}

// Guards against an instance without targets after an outage of the list.
Test(target_registry, lapsed_entry_may_come_back_after_an_outage) {
  TargetRegistry registry;
  Read(registry, kStart, Entry(1));
  const MonotonicTime back = kStart + Milliseconds(6000);
  Read(registry, back, std::nullopt);
  cr_assert_eq(registry.targets().size(), 1);
  registry.Expire(back + TargetRegistry::kReturnTimeout - Milliseconds(1));
  cr_assert_eq(registry.targets().size(), 1);
  registry.Expire(back + TargetRegistry::kReturnTimeout);
  cr_assert(registry.targets().empty());
}

// Guards against work for a target that left while this instance was isolated.
Test(target_registry, single_entry_that_went_in_an_interruption_is_gone) {
  TargetRegistry registry;
  TargetRegistry::Changes changes;
  for (const char* id : {"a", "b", "c", "d"}) {
    changes.emplace(id, Entry(1));
  }
  registry.OnRead(kStart, std::move(changes), true);
  Read(registry, kStart + Milliseconds(9000), std::nullopt);
  cr_assert_eq(registry.targets().size(), 3);
}

Test(target_registry, returned_entry_stays) {
  TargetRegistry registry;
  Read(registry, kStart, Entry(1));
  const MonotonicTime back = kStart + Milliseconds(6000);
  Read(registry, back, std::nullopt);
  Read(registry, back + Milliseconds(500), Entry(2));
  registry.Expire(back + TargetRegistry::kReturnTimeout);
  cr_assert_eq(registry.targets().size(), 1);
}

// Guards against work for a draining target after a late, older report.
Test(target_registry, older_reports_are_ignored) {
  TargetRegistry registry;
  ListedTarget leaving = Entry(5);
  leaving.draining = true;
  Read(registry, kStart, leaving);
  Read(registry, kStart, Entry(4));
  cr_assert(registry.targets().at("a").draining);
  Read(registry, kStart, Entry(1, 2));
  cr_assert_not(registry.targets().at("a").draining, "a new start counts anew");
}

// Guards against work for a target whose entry went and came back by a report
// that was delayed.
Test(target_registry, leaving_target_does_not_come_back) {
  TargetRegistry registry;
  ListedTarget leaving = Entry(5);
  leaving.draining = true;
  Read(registry, kStart, leaving);
  Read(registry, kStart, std::nullopt);
  Read(registry, kStart, Entry(4));
  cr_assert(registry.targets().empty());
  Read(registry, kStart, Entry(6));
  cr_assert(registry.targets().at("a").draining);
  Read(registry, kStart, Entry(1, 2));
  cr_assert_not(registry.targets().at("a").draining, "a new start counts anew");
}

Test(target_registry, repeated_reports_are_no_change) {
  TargetRegistry registry;
  Read(registry, kStart, Entry(1));
  cr_assert(registry.TakeChanged());
  Read(registry, kStart, Entry(2));
  cr_assert_not(registry.TakeChanged());
}

}  // namespace
}  // namespace snipehall
