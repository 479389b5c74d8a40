#include <string>
#include <vector>

#include "coordination/target_load_collector.h"
#include "coordination/target_load_table.h"
#include "protocol/leader_message_codec.h"

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
  report.target_loads = {{"t0", 5, 3, milliseconds(70), 2, 2.5}};
  LeaderTargetLoads loads;
  loads.targets = {{"t1", 4, 3, milliseconds(90), 1.25}};
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
