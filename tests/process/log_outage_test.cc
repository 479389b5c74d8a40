#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "process/support/cluster.h"
#include "process/support/history.h"
#include "process/support/keyed_traffic.h"
#include "state/hash_range.h"

#include <criterion/criterion.h>

// Outages of the platform's log, under requests that may not be repeated.

namespace snipehall::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Length of the outage. SNIPEHALL_OUTAGE_S sets another, for example 60.
seconds OutageLength() {
  const char* text = std::getenv("SNIPEHALL_OUTAGE_S");
  return seconds(text == nullptr ? 8 : std::atoi(text));
}

void SetOutage(const Cluster& cluster, bool on, const std::string& mode) {
  HttpClient(cluster.log_address())
      .Post("/test/outage", std::string(R"({"on": )") +
                                (on ? "true" : "false") + R"(, "mode": ")" +
                                mode + R"("})");
}

long long MillisecondsSince(Clock::time_point began) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - began).count();
}

// Waits until `traffic` has a new right answer; returns the milliseconds that
// this took.
long long AwaitService(const Traffic& traffic, seconds limit) {
  const auto began = Clock::now();
  const std::uint64_t before = traffic.right();
  const bool served =
      WaitUntil(began + limit, [&] { return traffic.right() > before; });
  Require(served, "no right answer in time");
  return MillisecondsSince(began);
}

void CheckHistory(const Cluster& cluster, const TrafficReport& report) {
  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNone(CheckOwners(history));
  RequireNone(CheckOutcomes(history, report, false));
  Require(report.wrong == 0, report.Summary());
}

// Keys of the numbers whose owner is `owner`, or is another one.
std::vector<std::string> KeysOf(const Cluster& cluster,
                                const TargetId& owner,
                                bool owned) {
  const ClusterState state = cluster.FoldLog();
  const ServiceAssignment* assignment = state.FindAssignment(kKeyedService);
  std::vector<std::string> keys;
  for (std::uint64_t number = 0; number < kKeyCount; ++number) {
    const OwnedRange* range = assignment->Find(HashKey(KeyOf(number)));
    if ((range->owner == owner) == owned) {
      keys.push_back(KeyOf(number));
    }
  }
  return keys;
}

TrafficOptions TrafficOn(std::vector<std::string> keys,
                         std::vector<std::string> addresses,
                         const std::string& id_prefix) {
  TrafficOptions options = KeyedTraffic(std::move(addresses), id_prefix);
  options.make = [make = options.make,
                  keys = std::move(keys)](std::uint64_t number) {
    TrafficRequest request = make(number);
    request.key = keys[number % keys.size()];
    request.call.headers["Snipehall-Key"] = request.key;
    return request;
  };
  return options;
}

void RunOutage(const std::string& mode) {
  Cluster cluster(KeyedCluster(3, 3));
  Traffic traffic(KeyedTraffic(cluster.CallerAddresses(), "outage"));
  AwaitRight(traffic, 2000);
  SetOutage(cluster, true, mode);
  AwaitRight(traffic, 2000, OutageLength());
  SetOutage(cluster, false, mode);
  AwaitRight(traffic, 2000, seconds(2));
  traffic.Stop();
  const TrafficReport report = traffic.Finish();
  std::printf(
      "log outage of %lld s by mode %s: longest gap of a key %lld ms; "
      "%s\n",
      static_cast<long long>(OutageLength().count()), mode.c_str(),
      static_cast<long long>(LongestGap(report).count()),
      report.Summary().c_str());
  CheckHistory(cluster, report);
  Require(report.right == report.sent, report.Summary());
}

}  // namespace

// Guards against leases that lapse in a log outage although every owner lives:
// not one request may fail.
Test(log_outage, no_request_fails_while_the_log_refuses, .timeout = 300) {
  RunOutage("refuse");
}

// The same for a log that accepts connections and does not answer.
Test(log_outage, no_request_fails_while_the_log_hangs, .timeout = 300) {
  RunOutage("hang");
}

// Guards against an instance that needs the log to start: in an outage it gets
// the state from the members of its group.
Test(log_outage, restarted_instance_serves_during_the_outage, .timeout = 300) {
  Cluster cluster(KeyedCluster(3, 3));
  const InstanceId coordinator = cluster.CoordinatorOf(kKeyedService, KeyOf(0));
  std::vector<std::string> others;
  for (const auto& node : cluster.instances()) {
    if (node->id != coordinator) {
      others.push_back(node->caller_address);
    }
  }
  Traffic traffic(KeyedTraffic(others, "others"));
  AwaitRight(traffic, 1000);
  SetOutage(cluster, true, "hang");
  AwaitRight(traffic, 1000, seconds(2));

  InstanceNode& node = cluster.instance(coordinator);
  node.process.Signal(SIGKILL);
  node.process.Wait(Clock::now() + seconds(5));
  const auto began = Clock::now();
  cluster.RestartInstance(node);
  cluster.WaitReady(Clock::now() + seconds(20));
  const long long ready_ms = MillisecondsSince(began);
  Traffic restarted(KeyedTraffic({node.caller_address}, "restarted"));
  AwaitRight(restarted, 1000, seconds(2));
  restarted.Stop();
  const TrafficReport own = restarted.Finish();
  SetOutage(cluster, false, "hang");
  AwaitRight(traffic, 1000, seconds(1));
  traffic.Stop();
  const TrafficReport report = traffic.Finish();
  std::printf("instance restarted in a log outage: ready after %lld ms; %s\n",
              ready_ms, own.Summary().c_str());
  CheckHistory(cluster, report);
  CheckHistory(cluster, own);
  Require(own.right == own.sent, own.Summary());
  Require(report.right == report.sent, report.Summary());
}

// Guards against an unsafe takeover without the log, against a lost owner that
// costs the keys of others, and against a slow takeover once the log is back.
Test(log_outage, lost_owner_is_replaced_after_the_outage, .timeout = 300) {
  Cluster cluster(KeyedCluster(3, 3));
  const TargetId owner = cluster.OwnerOf(kKeyedService, KeyOf(0));
  Traffic to_owner(TrafficOn(KeysOf(cluster, owner, true),
                             cluster.CallerAddresses(), "lost"));
  Traffic to_others(TrafficOn(KeysOf(cluster, owner, false),
                              cluster.CallerAddresses(), "kept"));
  AwaitRight(to_owner, 500);
  AwaitRight(to_others, 500);
  SetOutage(cluster, true, "refuse");
  Process& process = cluster.target(owner).process;
  process.Signal(SIGKILL);
  process.Wait(Clock::now() + seconds(5));
  AwaitRight(to_others, 500, seconds(5));
  const std::uint64_t before = to_owner.right();
  AwaitRight(to_others, 500, seconds(1));
  Require(to_owner.right() == before, "a lost owner's key was served");

  SetOutage(cluster, false, "refuse");
  const long long served_ms = AwaitService(to_owner, seconds(10));
  AwaitRight(to_owner, 500);
  to_owner.Stop();
  to_others.Stop();
  const TrafficReport lost = to_owner.Finish();
  const TrafficReport kept = to_others.Finish();
  std::printf("owner lost in a log outage: served %lld ms after its end; %s\n",
              served_ms, kept.Summary().c_str());
  CheckHistory(cluster, lost);
  CheckHistory(cluster, kept);
  Require(kept.right == kept.sent, kept.Summary());
  Require(served_ms <= 2500, "the key was not served in time");
}

}  // namespace snipehall::test
