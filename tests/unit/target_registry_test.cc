#include "coordination/target_registry.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

const MonotonicTime kStart = MonotonicTime(std::chrono::hours(1));

ListedTarget Entry(std::uint64_t report, std::int64_t born_ms = 1) {
  ListedTarget target;
  target.id = "a";
  target.service = "catalog";
  target.address = "127.0.0.1:8000";
  target.report = report;
  target.born_ms = born_ms;
  return target;
}

Test(target_registry, entry_that_goes_ends_its_target) {
  TargetRegistry registry;
  registry.OnRead(kStart);
  registry.OnEntry(kStart, "a", Entry(1));
  registry.OnRead(kStart + Milliseconds(800));
  registry.OnEntry(kStart + Milliseconds(800), "a", std::nullopt);
  cr_assert(registry.targets().empty());
}

// Guards against an instance without targets after an outage of the list.
Test(target_registry, lapsed_entry_may_come_back_after_an_outage) {
  TargetRegistry registry;
  registry.OnRead(kStart);
  registry.OnEntry(kStart, "a", Entry(1));
  const MonotonicTime back = kStart + Milliseconds(6000);
  registry.OnRead(back);
  registry.OnEntry(back, "a", std::nullopt);
  cr_assert_eq(registry.targets().size(), 1);
  registry.Expire(back + TargetRegistry::kReturnTime - Milliseconds(1));
  cr_assert_eq(registry.targets().size(), 1);
  registry.Expire(back + TargetRegistry::kReturnTime);
  cr_assert(registry.targets().empty());
}

Test(target_registry, returned_entry_stays) {
  TargetRegistry registry;
  registry.OnRead(kStart);
  registry.OnEntry(kStart, "a", Entry(1));
  const MonotonicTime back = kStart + Milliseconds(6000);
  registry.OnRead(back);
  registry.OnEntry(back, "a", std::nullopt);
  registry.OnEntry(back + Milliseconds(500), "a", Entry(2));
  registry.Expire(back + TargetRegistry::kReturnTime);
  cr_assert_eq(registry.targets().size(), 1);
}

// Guards against work for a leaving target after a late, older report.
Test(target_registry, older_reports_are_ignored) {
  TargetRegistry registry;
  registry.OnRead(kStart);
  ListedTarget leaving = Entry(5);
  leaving.leaving = true;
  registry.OnEntry(kStart, "a", leaving);
  registry.OnEntry(kStart, "a", Entry(4));
  cr_assert(registry.targets().at("a").leaving);
  registry.OnEntry(kStart, "a", Entry(1, 2));
  cr_assert_not(registry.targets().at("a").leaving, "a new start counts anew");
}

// Guards against work for a target whose entry went and came back by a report
// that was delayed.
Test(target_registry, leaving_target_does_not_come_back) {
  TargetRegistry registry;
  registry.OnRead(kStart);
  ListedTarget leaving = Entry(5);
  leaving.leaving = true;
  registry.OnEntry(kStart, "a", leaving);
  registry.OnEntry(kStart, "a", std::nullopt);
  registry.OnEntry(kStart, "a", Entry(4));
  cr_assert(registry.targets().empty());
  registry.OnEntry(kStart, "a", Entry(6));
  cr_assert(registry.targets().at("a").leaving);
  registry.OnEntry(kStart, "a", Entry(1, 2));
  cr_assert_not(registry.targets().at("a").leaving, "a new start counts anew");
}

Test(target_registry, repeated_reports_are_no_change) {
  TargetRegistry registry;
  registry.OnRead(kStart);
  registry.OnEntry(kStart, "a", Entry(1));
  cr_assert(registry.TakeChanged());
  registry.OnEntry(kStart, "a", Entry(2));
  cr_assert_not(registry.TakeChanged());
}

}  // namespace
}  // namespace snipehall
