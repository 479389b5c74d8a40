#include "coordination/target_registry.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

const MonotonicTime kStart = MonotonicTime(std::chrono::hours(1));

ListedTarget MakeEntry(std::uint64_t report_sequence,
                       std::int64_t start_time_ms = 1) {
  ListedTarget target;
  target.id = "a";
  target.service = "catalog";
  target.address = "127.0.0.1:8000";
  target.report_sequence = report_sequence;
  target.start_time_ms = start_time_ms;
  return target;
}

ListedTarget MakeNamedEntry(const char* id, std::uint64_t report_sequence) {
  ListedTarget target = MakeEntry(report_sequence);
  target.id = id;
  return target;
}

// Reads the list with one changed entry.
void ReadChange(TargetRegistry& registry,
                MonotonicTime now,
                std::optional<ListedTarget> entry) {
  TargetRegistry::Changes changes;
  changes.emplace_back("a", std::move(entry));
  registry.OnRead(now, changes, false);
}

// Guards against a warm-up that never gets known because each entry extends it
// by little, and against changes for the delays of entries.
Test(target_registry, warm_up_that_is_extended_little_by_little_is_published) {
  TargetRegistry registry;
  MonotonicTime published;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    const MonotonicTime now = kStart + i * Milliseconds(300);
    ListedTarget entry = MakeEntry(i);
    entry.warmup_until = now + Milliseconds(3000);
    ReadChange(registry, now, entry);
    if (registry.TakeChanged()) {
      published = registry.targets().at("a").warmup_until;
    }
    cr_assert(published >= entry.warmup_until - Milliseconds(500));
  }
  ListedTarget late = MakeEntry(21);
  late.warmup_until = published + Milliseconds(400);
  ReadChange(registry, kStart + Milliseconds(7000), late);
  cr_assert(!registry.TakeChanged());
}

Test(target_registry, removed_entry_removes_its_target) {
  TargetRegistry registry;
  ReadChange(registry, kStart, MakeEntry(1));
  ReadChange(registry, kStart + Milliseconds(800), std::nullopt);
  cr_assert(registry.targets().empty());
}

// Guards against requests to a target that wrote its first entry and left
// between two reads.
Test(target_registry, entry_that_the_same_read_removes_is_not_listed) {
  TargetRegistry registry;
  registry.OnRead(kStart, {{"a", MakeEntry(1)}, {"a", std::nullopt}}, false);
  cr_assert(registry.targets().empty());
}

// Guards against a target that loses its keys because another writer has
// replaced its entry, and against one that is kept for ever.
Test(target_registry, target_with_an_unusable_entry_has_time_to_report) {
  TargetRegistry registry;
  ReadChange(registry, kStart, MakeEntry(1));
  registry.OnUnusableEntry(kStart, "a");
  registry.Expire(kStart + TargetRegistry::kReturnTimeout - Milliseconds(1));
  cr_assert_eq(registry.targets().size(), 1);
  ReadChange(registry, kStart + Milliseconds(800), MakeEntry(2));
  registry.Expire(kStart + TargetRegistry::kReturnTimeout);
  cr_assert_eq(registry.targets().size(), 1);
  registry.OnUnusableEntry(kStart, "a");
  registry.Expire(kStart + TargetRegistry::kReturnTimeout);
  cr_assert(registry.targets().empty());
}

// Guards against an instance without targets after an outage of the list, in
// which all entries expire.
Test(target_registry, expired_entry_is_kept_for_its_return_after_an_outage) {
  TargetRegistry registry;
  ReadChange(registry, kStart, MakeEntry(1));
  const MonotonicTime outage_end = kStart + Milliseconds(6000);
  ReadChange(registry, outage_end, std::nullopt);
  cr_assert_eq(registry.targets().size(), 1);
  registry.Expire(outage_end + TargetRegistry::kReturnTimeout -
                  Milliseconds(1));
  cr_assert_eq(registry.targets().size(), 1);
  registry.Expire(outage_end + TargetRegistry::kReturnTimeout);
  cr_assert(registry.targets().empty());
}

// Guards against requests to a target that left while this instance was
// disconnected.
Test(target_registry, single_entry_missing_after_an_interruption_is_removed) {
  TargetRegistry registry;
  TargetRegistry::Changes changes;
  for (const char* id : {"a", "b", "c", "d"}) {
    changes.emplace_back(id, MakeNamedEntry(id, 1));
  }
  registry.OnRead(kStart, changes, true);
  ReadChange(registry, kStart + Milliseconds(9000), std::nullopt);
  cr_assert_eq(registry.targets().size(), 3);
}

Test(target_registry, returned_entry_is_kept) {
  TargetRegistry registry;
  ReadChange(registry, kStart, MakeEntry(1));
  const MonotonicTime outage_end = kStart + Milliseconds(6000);
  ReadChange(registry, outage_end, std::nullopt);
  ReadChange(registry, outage_end + Milliseconds(500), MakeEntry(2));
  registry.Expire(outage_end + TargetRegistry::kReturnTimeout);
  cr_assert_eq(registry.targets().size(), 1);
}

// Guards against requests to a leaving target after an older report has arrived
// late.
Test(target_registry, older_reports_are_ignored) {
  TargetRegistry registry;
  ListedTarget leaving = MakeEntry(5);
  leaving.draining = true;
  ReadChange(registry, kStart, leaving);
  ReadChange(registry, kStart, MakeEntry(4));
  cr_assert(registry.targets().at("a").draining);
  ReadChange(registry, kStart, MakeEntry(1, 2));
  cr_assert_not(registry.targets().at("a").draining,
                "a restarted process numbers its reports anew");
}

// Guards against requests to a target whose entry was removed and added again
// by a delayed report.
Test(target_registry, leaving_target_does_not_come_back) {
  TargetRegistry registry;
  ListedTarget leaving = MakeEntry(5);
  leaving.draining = true;
  ReadChange(registry, kStart, leaving);
  ReadChange(registry, kStart, std::nullopt);
  ReadChange(registry, kStart, MakeEntry(4));
  cr_assert(registry.targets().empty());
  ReadChange(registry, kStart, MakeEntry(6));
  cr_assert(registry.targets().at("a").draining);
  ReadChange(registry, kStart, MakeEntry(1, 2));
  cr_assert_not(registry.targets().at("a").draining,
                "a restarted process numbers its reports anew");
}

Test(target_registry, new_report_number_alone_is_no_change) {
  TargetRegistry registry;
  ReadChange(registry, kStart, MakeEntry(1));
  cr_assert(registry.TakeChanged());
  ReadChange(registry, kStart, MakeEntry(2));
  cr_assert_not(registry.TakeChanged());
}

// Guards against keys that are taken from a live target whose entry the
// restored list has lost.
Test(target_registry, entry_that_a_restored_list_lacks_is_kept_for_its_return) {
  TargetRegistry registry;
  TargetRegistry::Changes entries;
  for (const char* id : {"a", "b", "c", "d"}) {
    entries.emplace_back(id, MakeNamedEntry(id, 5));
  }
  registry.OnRead(kStart, entries, true);
  entries.pop_back();
  const MonotonicTime restored = kStart + Milliseconds(1000);
  registry.OnRestoredList(restored, entries);
  cr_assert_eq(registry.targets().size(), 4);
  registry.Expire(restored + TargetRegistry::kReturnTimeout);
  cr_assert_eq(registry.targets().size(), 3);
}

// Guards against requests to a target that has left and whose entry the
// restored list has again.
Test(target_registry, target_that_has_left_does_not_return_with_an_old_entry) {
  TargetRegistry registry;
  TargetRegistry::Changes entries;
  for (const char* id : {"a", "b", "c", "d"}) {
    entries.emplace_back(id, MakeNamedEntry(id, 5));
  }
  registry.OnRead(kStart, entries, true);
  ReadChange(registry, kStart + Milliseconds(500), std::nullopt);
  cr_assert_eq(registry.targets().size(), 3);
  registry.OnRestoredList(kStart + Milliseconds(1000), entries);
  cr_assert_eq(registry.targets().size(), 3);
  ReadChange(registry, kStart + Milliseconds(1500), MakeNamedEntry("a", 6));
  cr_assert_eq(registry.targets().size(), 4);
}

// Guards against a leaving target whose older entry says that it is ready.
Test(target_registry, draining_target_stays_so_in_a_restored_list) {
  TargetRegistry registry;
  TargetRegistry::Changes entries;
  entries.emplace_back("a", MakeNamedEntry("a", 5));
  registry.OnRead(kStart, entries, true);
  ListedTarget draining = MakeNamedEntry("a", 6);
  draining.draining = true;
  ReadChange(registry, kStart + Milliseconds(500), draining);
  registry.OnRestoredList(kStart + Milliseconds(1000), entries);
  cr_assert(registry.targets().at("a").draining);
}

// Guards against a target whose keys and requests go elsewhere because another
// writer has replaced its entry by one with another service or address (OWNER,
// review/1).
Test(target_registry, entry_that_is_not_the_targets_own_is_refused) {
  const ListedTarget own = MakeEntry(5);
  for (const std::int64_t start_time_ms : {1, 2}) {
    ListedTarget other_service = own;
    other_service.service = "booking";
    ListedTarget address_of_other = own;
    address_of_other.address = "127.0.0.1:8001";
    for (ListedTarget entry : {other_service, address_of_other}) {
      TargetRegistry registry;
      ListedTarget other = MakeNamedEntry("b", 1);
      other.address = "127.0.0.1:8001";
      registry.OnRead(kStart, {{"a", own}, {"b", other}}, true);
      entry.start_time_ms = start_time_ms;
      entry.report_sequence = 6;
      const auto refused = registry.OnRead(kStart, {{"a", entry}}, false);
      cr_assert_eq(refused.size(), 1);
      cr_assert(registry.targets().at("a") == own);
    }
  }
}

// Guards against a target whose own entry is lost because another writer's
// follows it in the same read.
Test(target_registry, own_entry_before_a_refused_one_counts) {
  TargetRegistry registry;
  ReadChange(registry, kStart, MakeEntry(1));
  ListedTarget draining = MakeEntry(2);
  draining.draining = true;
  ListedTarget foreign = MakeEntry(3);
  foreign.service = "booking";
  registry.OnRead(kStart + Milliseconds(800), {{"a", draining}, {"a", foreign}},
                  false);
  cr_assert(registry.targets().at("a") == draining);
}

// Guards against a target that another writer silences with a great report
// number, with one that is not refused, and with a process that never ran.
Test(target_registry, target_that_keeps_reporting_is_not_outdated) {
  for (const auto& [start_time_ms, report_sequence] :
       {std::pair<std::int64_t, std::uint64_t>(1, 900'000'000),
        std::pair<std::int64_t, std::uint64_t>(1, 5000),
        std::pair<std::int64_t, std::uint64_t>(2, 1)}) {
    TargetRegistry registry;
    ReadChange(registry, kStart, MakeEntry(5));
    ListedTarget foreign = MakeEntry(report_sequence, start_time_ms);
    foreign.slots = 7;
    ReadChange(registry, kStart, foreign);
    MonotonicTime now = kStart;
    for (std::uint64_t i = 6; i <= 8; ++i) {
      now += Milliseconds(900);
      ReadChange(registry, now, MakeEntry(i));
    }
    cr_assert(registry.targets().at("a") == MakeEntry(8));
  }
}

// Guards against a target that another writer's entry under its id keeps out
// because it was read first.
Test(target_registry, first_entry_of_another_writer_gives_way) {
  TargetRegistry registry;
  ListedTarget foreign = MakeEntry(1);
  foreign.address = "127.0.0.1:8001";
  ReadChange(registry, kStart, foreign);
  MonotonicTime now = kStart;
  for (std::uint64_t i = 2; i <= 6; ++i) {
    now += Milliseconds(900);
    ReadChange(registry, now, MakeEntry(i));
    registry.Expire(now);
  }
  cr_assert(registry.targets().at("a") == MakeEntry(6));
}

// Guards against requests to a former process whose reports arrive late.
Test(target_registry, late_reports_of_a_former_process_are_ignored) {
  TargetRegistry registry;
  ReadChange(registry, kStart, MakeEntry(5));
  ReadChange(registry, kStart + Milliseconds(100), MakeEntry(1, 2));
  registry.OnRead(kStart + Milliseconds(200),
                  {{"a", MakeEntry(6)}, {"a", MakeEntry(7)}}, false);
  cr_assert(registry.targets().at("a") == MakeEntry(1, 2));
}

// Guards against requests to a target that has said that it is leaving, while
// the list still says that it is ready; and against a new process that is taken
// for the one that left.
Test(target_registry, target_that_says_so_is_leaving_until_it_restarts) {
  TargetRegistry registry;
  ReadChange(registry, kStart, MakeEntry(1));
  registry.OnLeaving("a", 2);
  cr_assert_not(registry.targets().at("a").draining);
  registry.OnLeaving("a", 1);
  cr_assert(registry.targets().at("a").draining);
  ReadChange(registry, kStart + Milliseconds(500), MakeEntry(2));
  cr_assert(registry.targets().at("a").draining);
  ReadChange(registry, kStart + Milliseconds(900), MakeEntry(1, 2));
  cr_assert_not(registry.targets().at("a").draining);
  registry.OnLeaving("unknown", 1);
  cr_assert_eq(registry.targets().size(), 1);
}

}  // namespace
}  // namespace snipehall
