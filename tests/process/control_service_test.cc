#include <atomic>
#include <cstdio>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "process/support/cluster.h"
#include "process/support/http_client.h"
#include "process/support/process.h"
#include "process/support/temporary_directory.h"
#include "protocol/platform_protocol.h"
#include "protocol/target_protocol.h"
#include "transport/control_service.h"

#include <criterion/criterion.h>

// Tests of ControlService against stand-ins for the platform and the targets,
// without the rest of the daemon.

namespace snipehall::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kZone = "zone-a";
constexpr const char* kService = "gear";

// A running stand-in process and its address.
struct Standin {
  Standin(const TemporaryDirectory& directory,
          const std::string& name,
          std::vector<std::string> options = {})
      : process(Arguments(name, std::move(options)),
                directory.path() / (name + ".errors")),
        address(ReadAddress(process)) {}

  static std::vector<std::string> Arguments(const std::string& name,
                                            std::vector<std::string> options) {
    options.insert(options.begin(), StandinPath(name));
    return options;
  }

  Process process;
  std::string address;
};

Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.zones.push_back({kZone, "region"});
  configuration.services.push_back(MakeService(kService, true, {kZone}, 2));
  return configuration;
}

Record MakeRecord(const std::string& id, LogOffset based_on) {
  return {id, "operator", based_on,
          ConfigurationRecord{MakeConfiguration(), "test", 0}};
}

// Stand-ins for the log, the instance list and two targets as processes, and a
// number of control services within the test's own process.
class ControlServiceFixture {
 public:
  explicit ControlServiceFixture(int services) {
    for (int number = 1; number <= services; ++number) {
      Settings settings;
      settings.instance = "entry-" + std::to_string(number);
      settings.zone = kZone;
      settings.peer_address = "127.0.0.1:0";
      settings.log_address = m_log.address;
      settings.instance_list_address = m_list.address;
      auto started = ControlService::Start(settings);
      Require(started.has_value(), "a control service did not start");
      m_services.push_back(std::move(started).value());
    }
    PublishInstances();
  }

  ControlService& service(std::size_t index) { return *m_services[index]; }
  std::size_t size() const { return m_services.size(); }
  const Standin& log() const { return m_log; }

  static std::future<Result<SubmitOutcome>> Submit(ControlService& service,
                                                   Record record,
                                                   milliseconds limit) {
    auto promise = std::make_shared<std::promise<Result<SubmitOutcome>>>();
    std::future<Result<SubmitOutcome>> outcome = promise->get_future();
    service.Submit(std::move(record), Clock::now() + limit,
                   [promise](Result<SubmitOutcome> result) {
                     promise->set_value(std::move(result));
                   });
    return outcome;
  }

  static SubmitOutcome AwaitOutcome(
      std::future<Result<SubmitOutcome>> outcome) {
    const Result<SubmitOutcome> result = outcome.get();
    Require(result.has_value(),
            result.has_error() ? result.error().message : "");
    return result.value();
  }

  // Publishes a configuration and waits until both targets have a lease and all
  // control services have a routing table.
  void PublishAndAwaitLeases() {
    const auto start_time = Clock::now();
    const SubmitOutcome outcome =
        AwaitOutcome(Submit(service(0), MakeRecord("first", 0), seconds(20)));
    Require(outcome.outcome == ApplyOutcome::kAccepted,
            "the configuration was not accepted");
    const bool served = WaitUntil(Clock::now() + seconds(20), [this] {
      return HasLease(m_first_target) && HasLease(m_second_target) &&
             AllServicesHaveRoutes();
    });
    Require(served, "the targets did not get leases");
    std::printf("first leases %lld ms after the configuration was submitted\n",
                static_cast<long long>(std::chrono::duration_cast<milliseconds>(
                                           Clock::now() - start_time)
                                           .count()));
  }

  bool AllTargetsHaveLease() {
    return HasLease(m_first_target) && HasLease(m_second_target);
  }

  // Whether every control service counts its state as confirmed.
  bool AllConfirmed() const {
    for (const auto& service : m_services) {
      if (service->confirmed_until().load() <=
          Clock::now().time_since_epoch().count()) {
        return false;
      }
    }
    return true;
  }

  // Posts to a test control of the log, for example "/test/outage".
  void SetLogFault(const std::string& path, std::string body) const {
    HttpClient(m_log.address).Post(path, std::move(body));
  }

  int CountRecords(const std::string& id) const {
    const auto read =
        ParseLogRead(HttpClient(m_log.address).Get("/v1/records?from=1"));
    int count = 0;
    for (const LogEntry& entry : read.value().entries) {
      count += entry.record && entry.record->id == id ? 1 : 0;
    }
    return count;
  }

 private:
  void PublishInstances() {
    std::vector<PlatformInstance> list;
    for (std::size_t index = 0; index < m_services.size(); ++index) {
      list.push_back({"entry-" + std::to_string(index + 1),
                      PlatformRole::kEntry, "", kZone,
                      m_services[index]->peer_address(), false});
    }
    list.push_back({"t1", PlatformRole::kTarget, kService, kZone,
                    m_first_target.address, false});
    list.push_back({"t2", PlatformRole::kTarget, kService, kZone,
                    m_second_target.address, false});
    HttpClient(m_list.address).Put("/test/instances", EncodeInstanceList(list));
  }

  static bool HasLease(const Standin& target) {
    const auto answer =
        DecodeLeaseAnswer(HttpClient(target.address).Get("/control/status"));
    return answer.has_value() && answer.value().assignment_version != 0 &&
           answer.value().deadline_ms > answer.value().clock_ms;
  }

  bool AllServicesHaveRoutes() const {
    for (const auto& service : m_services) {
      const auto table = service->routing_table().Load();
      const ServiceRoutes* routes = table->FindService(kService);
      if (!table->ready || routes == nullptr || routes->ranges.empty()) {
        return false;
      }
    }
    return true;
  }

  TemporaryDirectory m_directory;
  Standin m_log{m_directory, "log_service"};
  Standin m_list{m_directory, "instance_list"};
  Standin m_first_target{m_directory,
                         "target",
                         {"--id", "t1", "--service", kService, "--zone", kZone,
                          "--keyed", "--checks-orders"}};
  Standin m_second_target{m_directory,
                          "target",
                          {"--id", "t2", "--service", kService, "--zone", kZone,
                           "--keyed", "--checks-orders"}};
  std::vector<std::unique_ptr<ControlService>> m_services;
};

}  // namespace

// Guards against concurrent publications that are both accepted, or both
// rejected. The rejected operator must learn the version that prevailed.
Test(control_service,
     one_of_two_concurrent_publications_is_accepted,
     .timeout = 120) {
  ControlServiceFixture fixture(2);
  fixture.PublishAndAwaitLeases();
  const LogOffset base =
      fixture.service(0).status().Load()->state.configuration()->offset;
  auto left = ControlServiceFixture::Submit(
      fixture.service(0), MakeRecord("left", base), seconds(20));
  auto right = ControlServiceFixture::Submit(
      fixture.service(1), MakeRecord("right", base), seconds(20));
  SubmitOutcome winner = ControlServiceFixture::AwaitOutcome(std::move(left));
  SubmitOutcome loser = ControlServiceFixture::AwaitOutcome(std::move(right));
  if (winner.outcome != ApplyOutcome::kAccepted) {
    std::swap(winner, loser);
  }
  Require(winner.outcome == ApplyOutcome::kAccepted,
          "neither record was accepted");
  Require(loser.outcome == ApplyOutcome::kStale,
          "the other record was not rejected as stale");
  Require(loser.current_version == winner.offset,
          "the stale outcome names another version than the accepted one");
}

// Guards against a duplicate record, or an error, when the response to an
// append is lost after the log has stored the record.
Test(control_service, lost_append_response_is_resolved, .timeout = 120) {
  ControlServiceFixture fixture(2);
  fixture.PublishAndAwaitLeases();
  const LogOffset base =
      fixture.service(0).status().Load()->state.configuration()->offset;
  fixture.SetLogFault("/test/drop_replies", R"({"count": 1})");
  const auto start_time = Clock::now();
  const SubmitOutcome outcome =
      ControlServiceFixture::AwaitOutcome(ControlServiceFixture::Submit(
          fixture.service(0), MakeRecord("lost", base), seconds(20)));
  std::printf("outcome known %lld ms after an append whose response was lost\n",
              static_cast<long long>(std::chrono::duration_cast<milliseconds>(
                                         Clock::now() - start_time)
                                         .count()));
  Require(outcome.outcome == ApplyOutcome::kAccepted,
          "the record was not accepted");
  Require(fixture.CountRecords("lost") == 1,
          "the record is not in the log exactly once");
}

// Guards against leases of live targets that expire in a log outage. The
// members of the group must confirm the state to each other during the outage,
// and a submission must fail with kTimeout at its deadline.
Test(control_service, log_outage_costs_no_lease, .timeout = 120) {
  for (const char* mode : {"refuse", "hang"}) {
    ControlServiceFixture fixture(3);
    fixture.PublishAndAwaitLeases();
    fixture.SetLogFault(
        "/test/outage",
        std::string(R"({"on": true, "mode": ")") + mode + R"("})");
    const auto submitted = Clock::now();
    auto outcome = ControlServiceFixture::Submit(
        fixture.service(0), MakeRecord("late", 1), seconds(1));
    const auto end = Clock::now() + seconds(5);
    int polls = 0;
    while (Clock::now() < end) {
      Require(fixture.AllTargetsHaveLease(), "a lease expired");
      Require(fixture.AllConfirmed(), "the state is not confirmed");
      ++polls;
    }
    const Result<SubmitOutcome> result = outcome.get();
    Require(result.has_error() && result.error().code == ErrorCode::kTimeout,
            "the submission did not fail with kTimeout");
    fixture.SetLogFault("/test/outage", R"({"on": false})");
    const auto returned = Clock::now();
    const bool read = WaitUntil(returned + seconds(10), [&fixture] {
      return fixture.service(0).status().Load()->log_reachable;
    });
    Require(read, "the log was not read again after the outage");
    std::printf(
        "log outage in mode %s: no lease expired in %d polls over %lld ms; log "
        "read again %lld ms after the outage\n",
        mode, polls,
        static_cast<long long>(
            std::chrono::duration_cast<milliseconds>(returned - submitted)
                .count()),
        static_cast<long long>(
            std::chrono::duration_cast<milliseconds>(Clock::now() - returned)
                .count()));
  }
}

// Guards against leases and confirmations that expire because the log is slow:
// it delays each response by 2 s here.
Test(control_service, slow_log_costs_no_lease, .timeout = 120) {
  ControlServiceFixture fixture(3);
  fixture.PublishAndAwaitLeases();
  fixture.SetLogFault("/test/delay_ms", R"({"ms": 2000})");
  const auto end = Clock::now() + seconds(6);
  while (Clock::now() < end) {
    Require(fixture.AllTargetsHaveLease(), "a lease expired");
    Require(fixture.AllConfirmed(), "the state is not confirmed");
  }
  const LogOffset base =
      fixture.service(0).status().Load()->state.configuration()->offset;
  const SubmitOutcome outcome =
      ControlServiceFixture::AwaitOutcome(ControlServiceFixture::Submit(
          fixture.service(1), MakeRecord("slow", base), seconds(30)));
  Require(outcome.outcome == ApplyOutcome::kAccepted,
          "the record was not accepted");
}

}  // namespace snipehall::test
