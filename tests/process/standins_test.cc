#include <csignal>
#include <cstdio>
#include <string>

#include "process/support/http_client.h"
#include "process/support/process.h"
#include "process/support/relay.h"
#include "process/support/temporary_directory.h"
#include "process/support/traffic.h"

#include <criterion/criterion.h>

// Tests of the stand-ins themselves and of the support code, without a daemon.

namespace snipehall::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Standin {
  Process process;
  std::string address;
};

Standin Start(const TemporaryDirectory& directory,
              const std::string& name,
              std::vector<std::string> options = {}) {
  options.insert(options.begin(), StandinPath(name));
  Process process(std::move(options), directory.path() / "errors");
  std::string address = ReadAddress(process);
  return {std::move(process), std::move(address)};
}

}  // namespace

// Guards against a target that is the bottleneck of throughput tests, and
// against a client that overlooks wrong answers because it checks none.
Test(standins, target_answers_every_request_right) {
  const TemporaryDirectory directory;
  Standin target = Start(directory, "target", {"--slots", "64"});
  TrafficOptions options;
  options.addresses = {target.address};
  options.requests = 200000;
  options.make = [](std::uint64_t number) {
    return TrafficRequest{.id = std::to_string(number),
                          .call = {.path = "/p" + std::to_string(number)}};
  };
  const TrafficReport report = Traffic(std::move(options)).Finish();
  std::printf("target alone: %s\n", report.Summary().c_str());
  Require(report.right == 200000, report.Summary());
}

// Guards against a check that takes another request's answer, a short one or a
// refusal for the right answer.
Test(standins, traffic_notices_a_foreign_answer) {
  const TemporaryDirectory directory;
  Standin target = Start(directory, "target");
  const TrafficRequest asked{.id = "a", .call = {.path = "/x"}};
  HttpClientRequest call = asked.call;
  call.headers = {{"Snipehall-Request-Id", "a"}};
  const auto reply =
      HttpClient(target.address).Send(call, Clock::now() + seconds(5));
  Require(reply.has_value() && IsRightAnswer(asked, *reply), "right answer");

  TrafficRequest other = asked;
  other.id = "b";
  Require(!IsRightAnswer(other, *reply), "other id");
  other = asked;
  other.call.path = "/y";
  Require(!IsRightAnswer(other, *reply), "other path");
  other = asked;
  other.call.body = "body";
  Require(!IsRightAnswer(other, *reply), "other body");
  HttpClientResponse damaged = *reply;
  damaged.body.pop_back();
  Require(!IsRightAnswer(asked, damaged), "short body");
  damaged = *reply;
  damaged.status = 503;
  Require(!IsRightAnswer(asked, damaged), "other status");
}

// Guards against a relay that loses or closes what it holds while stopped.
Test(standins, relay_holds_bytes_while_stopped) {
  const TemporaryDirectory directory;
  Standin log = Start(directory, "log_service");
  Relay relay(log.address);
  HttpClient client(relay.address());
  client.Post("/v1/records", "one");
  relay.Stop();
  const auto held =
      client.Send({.path = "/test/state"}, Clock::now() + milliseconds(200));
  Require(!held.has_value(), "the stopped relay forwarded");
  relay.Resume();
  const bool resumed = WaitUntil(Clock::now() + seconds(5), [&client] {
    return client.Send({.path = "/test/state"}, Clock::now() + seconds(1))
        .has_value();
  });
  Require(resumed, "no answer after the relay resumed");
}

// Guards against a stand-in that outlives SIGTERM, which would leave processes
// behind.
Test(standins, sigterm_ends_each_program) {
  const TemporaryDirectory directory;
  for (const char* name : {"log_service", "instance_list", "target"}) {
    Standin standin = Start(directory, name);
    standin.process.Signal(SIGTERM);
    const auto status = standin.process.Wait(Clock::now() + seconds(5));
    Require(status.has_value() && *status == 0, name);
  }
}

}  // namespace snipehall::test
