#include <limits>
#include <set>
#include <string>
#include <vector>

#include "coordination/target_chooser.h"
#include "coordination/target_load_collector.h"
#include "coordination/target_load_table.h"
#include "protocol/leader_message_codec.h"
#include "transport/gateway/routing_state.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{std::chrono::seconds(1000)};
constexpr milliseconds kService{200};

TargetList Targets(int count) {
  TargetList targets;
  for (int i = 0; i < count; ++i) {
    ListedTarget target;
    target.id = "t" + std::to_string(i);
    target.service = "service";
    targets.emplace(target.id, target);
  }
  return targets;
}

// Responses to two instances, alternately, in `rounds` report intervals; the
// first target is `factor` times slower than the others. Returns its relative
// time afterwards.
double Learn(TargetLoadCollector& collector,
             std::vector<TargetLoadTable>& instances,
             const TargetList& targets,
             MonotonicTime& now,
             int rounds,
             int factor) {
  for (int round = 0; round < rounds; ++round) {
    now += milliseconds(400);
    for (TargetLoadTable& instance : instances) {
      for (const auto& [id, target] : targets) {
        instance.OnResponse(now, id, "route",
                            id == "t0" ? kService * factor : kService,
                            ReportedLoad{1, 3});
      }
      collector.OnReport(now, instance.TakeReport(now));
    }
    const auto summary = collector.NextSummary(now, targets, {});
    for (TargetLoadTable& instance : instances) {
      instance.OnSummary(now, summary);
    }
  }
  return instances.front().Find(now, "t0")->relative_time;
}

Test(target_load, speeds_are_learned_and_changes_followed) {
  const TargetList targets = Targets(10);
  TargetLoadCollector collector;
  std::vector<TargetLoadTable> instances(2);
  MonotonicTime now = kStart;
  const double even = Learn(collector, instances, targets, now, 20, 1);
  cr_assert(even > 0.9 && even < 1.1, "%f", even);
  const double slow = Learn(collector, instances, targets, now, 5, 5);
  cr_assert(slow > 2, "%f after 2 s", slow);
  const double recovered = Learn(collector, instances, targets, now, 5, 1);
  cr_assert(recovered < 1.5, "%f after 2 s", recovered);
}

Test(target_load, a_failing_target_counts_as_slow) {
  const TargetList targets = Targets(4);
  TargetLoadCollector collector;
  std::vector<TargetLoadTable> instances(1);
  MonotonicTime now = kStart;
  Learn(collector, instances, targets, now, 10, 1);
  for (int i = 0; i < 20; ++i) {
    instances.front().OnFailure("t0");
  }
  cr_assert(Learn(collector, instances, targets, now, 1, 1) > 2);
}

Test(target_load, what_is_not_reported_any_more_is_forgotten) {
  const TargetList targets = Targets(4);
  TargetLoadCollector collector;
  std::vector<TargetLoadTable> instances(1);
  MonotonicTime now = kStart;
  Learn(collector, instances, targets, now, 10, 4);
  now += TargetLoadTable::kSummaryLifetime;
  const auto estimate = instances.front().Find(now, "t0");
  cr_assert(estimate->relative_time == 1 && !estimate->outstanding);
  instances.front().Retain([](const TargetId&) { return false; });
  cr_assert(!instances.front().Find(now, "t0"));
}

Test(target_load, all_targets_are_reported_in_turn) {
  constexpr int kTargets = 100;
  const TargetList targets = Targets(kTargets);
  TargetLoadTable instance;
  std::set<TargetId> reported;
  MonotonicTime now = kStart;
  for (int round = 0; round < 4; ++round) {
    for (const auto& [id, target] : targets) {
      instance.OnResponse(now, id, "route", kService, ReportedLoad{1, 3});
    }
    const auto samples = instance.TakeReport(now);
    cr_assert(samples.size() <= TargetLoadTable::kMaxReportTargets);
    for (const TargetLoadSample& sample : samples) {
      reported.insert(sample.target);
    }
    now += milliseconds(400);
  }
  cr_assert(reported.size() == kTargets, "%zu targets", reported.size());
}

Test(target_load, loads_of_a_summary_are_not_reported_back) {
  TargetLoadTable instance;
  instance.OnReportedLoad(kStart, "t0", {3, 3});
  instance.OnSummary(kStart + milliseconds(400),
                     {{"t0", 1, 3, milliseconds(100), 1}});
  cr_assert(instance.TakeReport(kStart + milliseconds(400)).empty());
}

Test(target_load, a_target_that_gets_no_requests_is_tried_again) {
  const TargetList targets = Targets(4);
  TargetLoadCollector collector;
  std::vector<TargetLoadTable> instances(1);
  MonotonicTime now = kStart;
  cr_assert(Learn(collector, instances, targets, now, 10, 8) > 2);
  const TargetList others(std::next(targets.begin()), targets.end());
  for (int round = 0; round < 25; ++round) {
    now += milliseconds(400);
    for (const auto& [id, target] : others) {
      instances.front().OnResponse(now, id, "route", kService,
                                   ReportedLoad{1, 3});
    }
    collector.OnReport(now, instances.front().TakeReport(now));
    collector.NextSummary(now, targets, {});
  }
  const double relative_time = collector.RelativeTime("t0");
  cr_assert(relative_time < 1.5, "%f", relative_time);
}

// Load: the leader falls silent while a target is full and a key is busy.
Test(target_load, an_instance_that_hears_nothing_sends_as_before) {
  TargetLoadTable table;
  RoutingState state;
  table.OnSummary(kStart, {{"t0", 9, 3, milliseconds(0), 4}});
  state.SetKeyAdmissions(kStart, {{"service", {{7, 0.25}}}});
  cr_assert(table.Find(kStart, "t0")->outstanding == 9);
  // The load fades until it is forgotten.
  MonotonicTime now = kStart + TargetLoadTable::kReportLifetime / 2;
  cr_assert(table.Find(now, "t0")->outstanding == 4.5);
  now = kStart + TargetLoadTable::kReportLifetime;
  cr_assert(!table.Find(now, "t0")->outstanding);
  now = kStart + milliseconds(1000);
  cr_assert(state.AdmittedFraction(now, "service", 7) == 0.25);
  cr_assert(state.AdmittedFraction(now, "service", 8) == 1);
  now = kStart + milliseconds(1201);
  cr_assert(state.AdmittedFraction(now, "service", 7) == 1);
  now = kStart + TargetLoadTable::kSummaryLifetime;
  cr_assert(table.Find(now, "t0")->relative_time == 1);
  // A reply of a leader lifts what an earlier one has said.
  state.SetKeyAdmissions(now, {{"service", {{7, 0.25}}}});
  state.SetKeyAdmissions(now, {});
  cr_assert(state.AdmittedFraction(now, "service", 7) == 1);
}

// An old leader receives no more than this.
Test(target_load, the_largest_report_fits_an_earlier_build) {
  constexpr std::size_t kMaxEarlierBytes = 4096;
  LeaderReport report;
  report.zone = "zone-of-usual-length";
  report.relay_address = "192.168.100.100:10000";
  report.load.service = "service-of-usual-length";
  for (int i = 0; i < 256; ++i) {
    report.load.keys.push_back(static_cast<KeyNumber>(i * 251 + 257));
  }
  for (int i = 0; i < 24; ++i) {
    report.load.targets.push_back(
        {"i-0123456789-" + std::to_string(i), 100000, milliseconds(123456789)});
  }
  for (std::size_t i = 0; i < TargetLoadTable::kMaxReportTargets; ++i) {
    report.target_loads.push_back({"i-0123456789-" + std::to_string(i), 300,
                                   300, milliseconds(399), 1000, 1234.567, 700,
                                   987.654});
  }
  const std::size_t size =
      EncodeLeaderMessage({"instance-name-1", report}).size();
  cr_assert(size <= kMaxEarlierBytes, "%zu bytes", size);
}

Test(target_load, malformed_samples_do_no_harm) {
  LeaderReport report;
  report.target_loads = {{"t0", 5, 3, milliseconds(0), 9, 0},
                         {"t1", 5, 3, milliseconds(0), 9,
                          std::numeric_limits<double>::quiet_NaN()},
                         {"t2", 5, 3, milliseconds(0), 9, -1e30}};
  const auto read =
      DecodeLeaderMessage(EncodeLeaderMessage({"instance", report}));
  cr_assert(read);
  const TargetList targets = Targets(3);
  TargetLoadCollector collector;
  collector.OnReport(kStart,
                     std::get<LeaderReport>(read.value().content).target_loads);
  collector.NextSummary(kStart, targets, {});
  for (const auto& [id, target] : targets) {
    const double relative_time = collector.RelativeTime(id);
    cr_assert(relative_time > 0.01 && relative_time < 10, "%f", relative_time);
  }
}

// Load: a target takes three times as long while more than half of its slots
// are busy, and as long as the others below that.
Test(target_load, a_target_that_slows_down_early_is_known_by_its_occupancy) {
  const TargetList targets = Targets(10);
  TargetLoadCollector collector;
  std::vector<TargetLoadTable> instances(2);
  MonotonicTime now = kStart;
  for (int round = 0; round < 20; ++round) {
    now += milliseconds(400);
    for (TargetLoadTable& instance : instances) {
      for (const auto& [id, target] : targets) {
        for (const int outstanding : {2, 6}) {
          const bool slow = id == "t0" && outstanding == 6;
          instance.OnResponse(now, id, "route", kService * (slow ? 3 : 1),
                              ReportedLoad{outstanding, 8});
        }
      }
      collector.OnReport(now, instance.TakeReport(now));
    }
    const auto summary = collector.NextSummary(now, targets, {});
    for (TargetLoadTable& instance : instances) {
      instance.OnSummary(now, summary);
    }
  }
  const auto slow = instances.front().Find(now, "t0");
  const auto other = instances.front().Find(now, "t1");
  cr_assert(slow->light_time < 1.2, "%f", slow->light_time);
  cr_assert(slow->busy_time > 2, "%f", slow->busy_time);
  cr_assert(other->light_time > 0.7 && other->busy_time < 1.3);

  TargetChooserOptions options;
  options.own_zone = "zone";
  auto chooser = TargetChooser::Create(options);
  cr_assert(chooser);
  const std::vector<RouteTarget> routes = {{"t0", "zone", "127.0.0.1:1"},
                                           {"t1", "zone", "127.0.0.1:2"}};
  chooser.value().SetTargets(now, routes);
  chooser.value().set_load_table(&instances.front());
  // The target is preferred with two more free slots, but not with one more
  // while that many are busy.
  instances.front().OnReportedLoad(now, "t0", {2, 8});
  instances.front().OnReportedLoad(now, "t1", {4, 8});
  cr_assert(chooser.value().Choose(now) == std::size_t{0});
  instances.front().OnReportedLoad(now, "t0", {6, 8});
  instances.front().OnReportedLoad(now, "t1", {7, 8});
  cr_assert(chooser.value().Choose(now) == std::size_t{1});
}

// Load: all targets of a service have just started, and one has failed.
Test(target_load, a_target_with_free_slots_makes_no_request_wait) {
  const TargetLoadTable table;
  TargetChooserOptions options;
  options.own_zone = "zone";
  auto chooser = TargetChooser::Create(options);
  cr_assert(chooser);
  chooser.value().set_load_table(&table);
  const std::vector<RouteTarget> first = {{"t0", "zone", "127.0.0.1:1"}};
  const std::vector<RouteTarget> both = {{"t0", "zone", "127.0.0.1:1"},
                                         {"t1", "zone", "127.0.0.1:2"}};
  chooser.value().SetTargets(kStart, first);
  const MonotonicTime now = kStart + std::chrono::hours(1);
  chooser.value().SetTargets(now, both);
  chooser.value().OnSent(now, "t0");
  chooser.value().OnFailed(now, "t0");
  cr_assert(chooser.value().Outlook(now, "t0").wait <= 0);
  cr_assert(chooser.value().Outlook(now, "t1").wait <= 0);
}

// The messages of a build that does not tell occupancies apart.
Test(target_load, an_earlier_summary_has_one_time) {
  TargetLoadTable table;
  LeaderTargetLoads loads;
  loads.targets = {{"t0", 1, 8, milliseconds(0), 2.5, 0, 0}};
  const auto read = DecodeLeaderMessage(EncodeLeaderMessage({"leader", loads}));
  cr_assert(read);
  table.OnSummary(kStart,
                  std::get<LeaderTargetLoads>(read.value().content).targets);
  const auto estimate = table.Find(kStart, "t0");
  cr_assert(estimate->light_time == 2.5 && estimate->busy_time == 2.5);
}

Test(target_load, of_keyed_services_only_full_targets_are_told) {
  const TargetList targets = Targets(3);
  TargetLoadCollector collector;
  const std::vector<TargetLoadSample> samples = {
      {"t0", 5, 3, milliseconds(0), 1, 1.0},
      {"t1", 1, 3, milliseconds(0), 1, 1.0}};
  collector.OnReport(kStart, samples);
  const auto summary = collector.NextSummary(kStart, targets, {"service"});
  cr_assert(summary.size() == 1 && summary.front().target == "t0");
  cr_assert(summary.front().outstanding == 5);
}

Test(target_load, messages_round_trip) {
  LeaderReport report;
  report.zone = "zone";
  report.target_loads = {{"t0", 5, 3, milliseconds(70), 2, 2.5, 1, 1.5}};
  LeaderTargetLoads loads;
  loads.targets = {{"t1", 4, 3, milliseconds(90), 1.25, 0.75, 2.5}};
  loads.key_admissions["service"] = {{7, 0.125}, {65535, 0.5}};
  const auto read_report =
      DecodeLeaderMessage(EncodeLeaderMessage({"instance", report}));
  const auto read_loads =
      DecodeLeaderMessage(EncodeLeaderMessage({"leader", loads}));
  cr_assert(read_report && read_loads);
  cr_assert(std::get<LeaderReport>(read_report.value().content).target_loads ==
            report.target_loads);
  const auto& content = std::get<LeaderTargetLoads>(read_loads.value().content);
  cr_assert(content.targets == loads.targets);
  cr_assert(content.key_admissions == loads.key_admissions);
}

}  // namespace
}  // namespace snipehall
