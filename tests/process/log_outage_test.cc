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

// Outages of the platform's log during non-repeatable requests.

namespace snipehall::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Duration of the outage: 8 s, or the value of SNIPEHALL_OUTAGE_S, for example
// 60.
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

long long MillisecondsSince(Clock::time_point start_time) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - start_time)
      .count();
}

// Waits for the next correct response of `traffic`. Returns the waiting time in
// milliseconds.
long long AwaitNextCorrectResponse(const Traffic& traffic, seconds max_wait) {
  const auto start_time = Clock::now();
  const std::uint64_t before = traffic.correct();
  const bool served = WaitUntil(start_time + max_wait,
                                [&] { return traffic.correct() > before; });
  Require(served, "no correct response in time");
  return MillisecondsSince(start_time);
}

// Checks the executions of all targets and the report of the callers.
void CheckHistory(const Cluster& cluster, const TrafficReport& report) {
  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNoViolations(CheckOwners(history));
  RequireNoViolations(CheckOutcomes(history, report, false));
  Require(report.incorrect == 0, report.Summary());
}

// Returns the keys that `owner` owns if `owned` is true, otherwise all others.
std::vector<std::string> SelectKeys(const Cluster& cluster,
                                    const TargetId& owner,
                                    bool owned) {
  const ClusterState state = cluster.ReplayLog();
  const ServiceAssignment* assignment = state.FindAssignment(kKeyedService);
  std::vector<std::string> keys;
  for (std::uint64_t number = 0; number < kKeyCount; ++number) {
    const OwnedRange* range = assignment->Find(HashKey(KeyFromNumber(number)));
    if ((range->owner == owner) == owned) {
      keys.push_back(KeyFromNumber(number));
    }
  }
  return keys;
}

// Like KeyedTrafficOptions(), but for `keys` only.
TrafficOptions TrafficForKeys(std::vector<std::string> keys,
                              std::vector<std::string> addresses,
                              const std::string& id_prefix) {
  TrafficOptions options = KeyedTrafficOptions(std::move(addresses), id_prefix);
  options.make_request = [make_request = options.make_request,
                          keys = std::move(keys)](std::uint64_t number) {
    TrafficRequest request = make_request(number);
    request.key = keys[number % keys.size()];
    request.http_request.headers["Snipehall-Key"] = request.key;
    return request;
  };
  return options;
}

// Runs requests before, during and after a log outage; all must succeed.
void RunOutage(const std::string& mode) {
  Cluster cluster(KeyedClusterOptions(3, 3));
  Traffic traffic(KeyedTrafficOptions(cluster.CallerAddresses(), "outage"));
  AwaitCorrectResponses(traffic, 2000);
  SetOutage(cluster, true, mode);
  AwaitCorrectResponses(traffic, 2000, OutageLength());
  SetOutage(cluster, false, mode);
  AwaitCorrectResponses(traffic, 2000, seconds(2));
  traffic.Stop();
  const TrafficReport report = traffic.Finish();
  std::printf(
      "log outage of %lld s in mode %s: longest gap for a key %lld ms; "
      "%s\n",
      static_cast<long long>(OutageLength().count()), mode.c_str(),
      static_cast<long long>(LongestGap(report).count()),
      report.Summary().c_str());
  CheckHistory(cluster, report);
  Require(report.correct == report.sent, report.Summary());
}

}  // namespace

// Guards against leases that expire in a log outage although every owner is
// alive. No request may fail.
Test(log_outage, no_request_fails_while_the_log_refuses, .timeout = 300) {
  RunOutage("refuse");
}

// As above, for a log that accepts connections but does not respond.
Test(log_outage, no_request_fails_while_the_log_hangs, .timeout = 300) {
  RunOutage("hang");
}

// Guards against an instance that cannot start without the log. During an
// outage it must get the state from the members of its group.
Test(log_outage, restarted_instance_serves_during_the_outage, .timeout = 300) {
  Cluster cluster(KeyedClusterOptions(3, 3));
  const InstanceId coordinator =
      cluster.CoordinatorOf(kKeyedService, KeyFromNumber(0));
  std::vector<std::string> others;
  for (const auto& node : cluster.instances()) {
    if (node->id != coordinator) {
      others.push_back(node->caller_address);
    }
  }
  Traffic traffic(KeyedTrafficOptions(others, "others"));
  AwaitCorrectResponses(traffic, 1000);
  SetOutage(cluster, true, "hang");
  AwaitCorrectResponses(traffic, 1000, seconds(2));

  InstanceNode& node = cluster.instance(coordinator);
  node.process.Signal(SIGKILL);
  node.process.Wait(Clock::now() + seconds(5));
  const auto start_time = Clock::now();
  cluster.RestartInstance(node);
  cluster.WaitUntilReady(Clock::now() + seconds(20));
  const long long ready_ms = MillisecondsSince(start_time);
  Traffic restarted(KeyedTrafficOptions({node.caller_address}, "restarted"));
  AwaitCorrectResponses(restarted, 1000, seconds(2));
  restarted.Stop();
  const TrafficReport restarted_report = restarted.Finish();
  SetOutage(cluster, false, "hang");
  AwaitCorrectResponses(traffic, 1000, seconds(1));
  traffic.Stop();
  const TrafficReport report = traffic.Finish();
  std::printf("instance restarted in a log outage: ready after %lld ms; %s\n",
              ready_ms, restarted_report.Summary().c_str());
  CheckHistory(cluster, report);
  CheckHistory(cluster, restarted_report);
  Require(restarted_report.correct == restarted_report.sent,
          restarted_report.Summary());
  Require(report.correct == report.sent, report.Summary());
}

// Guards against three faults when an owner is killed in a log outage: its keys
// are given to another target without the log, requests for keys of other
// owners fail, or the takeover takes long (more than 2.5 s) once the log is
// back.
Test(log_outage, lost_owner_is_replaced_after_the_outage, .timeout = 300) {
  Cluster cluster(KeyedClusterOptions(3, 3));
  const TargetId owner = cluster.OwnerOf(kKeyedService, KeyFromNumber(0));
  Traffic to_owner(TrafficForKeys(SelectKeys(cluster, owner, true),
                                  cluster.CallerAddresses(), "lost"));
  Traffic to_others(TrafficForKeys(SelectKeys(cluster, owner, false),
                                   cluster.CallerAddresses(), "kept"));
  AwaitCorrectResponses(to_owner, 500);
  AwaitCorrectResponses(to_others, 500);
  SetOutage(cluster, true, "refuse");
  Process& process = cluster.target(owner).process;
  process.Signal(SIGKILL);
  process.Wait(Clock::now() + seconds(5));
  AwaitCorrectResponses(to_others, 500, seconds(5));
  const std::uint64_t before = to_owner.correct();
  AwaitCorrectResponses(to_others, 500, seconds(1));
  Require(to_owner.correct() == before,
          "a key of the killed owner was served during the outage");

  SetOutage(cluster, false, "refuse");
  const long long served_ms = AwaitNextCorrectResponse(to_owner, seconds(10));
  AwaitCorrectResponses(to_owner, 500);
  to_owner.Stop();
  to_others.Stop();
  const TrafficReport owner_report = to_owner.Finish();
  const TrafficReport others_report = to_others.Finish();
  std::printf(
      "owner killed in a log outage: its keys served %lld ms after the outage; "
      "%s\n",
      served_ms, others_report.Summary().c_str());
  CheckHistory(cluster, owner_report);
  CheckHistory(cluster, others_report);
  Require(others_report.correct == others_report.sent, others_report.Summary());
  Require(served_ms <= 2500, "the killed owner's keys were not served in time");
}

}  // namespace snipehall::test
