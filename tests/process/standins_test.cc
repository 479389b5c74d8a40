#include <csignal>
#include <cstdio>
#include <string>

#include "process/support/http_client.h"
#include "process/support/process.h"
#include "process/support/relay.h"
#include "process/support/temporary_directory.h"
#include "process/support/traffic.h"

#include <criterion/criterion.h>

// Tests of the stand-in programs and of the test support code, without a
// daemon.

namespace snipehall::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A running stand-in process and its address.
struct Standin {
  Process process;
  std::string address;
};

Standin StartStandin(const TemporaryDirectory& directory,
                     const std::string& name,
                     std::vector<std::string> options = {}) {
  options.insert(options.begin(), StandinPath(name));
  Process process(std::move(options), directory.path() / "errors");
  std::string address = ReadAddress(process);
  return {std::move(process), std::move(address)};
}

}  // namespace

// Guards against a target stand-in that is the bottleneck in throughput tests,
// and against a client that misses incorrect responses because it checks none.
Test(standins, target_answers_every_request_correctly) {
  const TemporaryDirectory directory;
  Standin target = StartStandin(directory, "target", {"--slots", "64"});
  TrafficOptions options;
  options.addresses = {target.address};
  options.requests = 200000;
  options.make_request = [](std::uint64_t number) {
    return TrafficRequest{
        .id = std::to_string(number),
        .http_request = {.path = "/p" + std::to_string(number)}};
  };
  const TrafficReport report = Traffic(std::move(options)).Finish();
  std::printf("target without a router: %s\n", report.Summary().c_str());
  Require(report.correct == 200000, report.Summary());
}

// Guards against a check that accepts the response to another request, a
// truncated response or a refusal.
Test(standins, response_to_another_request_is_detected) {
  const TemporaryDirectory directory;
  Standin target = StartStandin(directory, "target");
  const TrafficRequest sent_request{.id = "a", .http_request = {.path = "/x"}};
  HttpClientRequest http_request = sent_request.http_request;
  http_request.headers = {{"Snipehall-Request-Id", "a"}};
  const auto reply =
      HttpClient(target.address).Send(http_request, Clock::now() + seconds(5));
  Require(reply.has_value() && IsExpectedResponse(sent_request, *reply),
          "correct response");

  TrafficRequest other = sent_request;
  other.id = "b";
  Require(!IsExpectedResponse(other, *reply), "other id");
  other = sent_request;
  other.http_request.path = "/y";
  Require(!IsExpectedResponse(other, *reply), "other path");
  other = sent_request;
  other.http_request.body = "body";
  Require(!IsExpectedResponse(other, *reply), "other body");
  HttpClientResponse damaged = *reply;
  damaged.body.pop_back();
  Require(!IsExpectedResponse(sent_request, damaged), "short body");
  damaged = *reply;
  damaged.status = 503;
  Require(!IsExpectedResponse(sent_request, damaged), "other status");
}

// Guards against a relay that loses data or closes connections while it is
// paused.
Test(standins, relay_holds_data_back_while_paused) {
  const TemporaryDirectory directory;
  Standin log = StartStandin(directory, "log_service");
  Relay relay(log.address);
  HttpClient client(relay.address());
  client.Post("/v1/records", "one");
  relay.Pause();
  const auto early_reply =
      client.Send({.path = "/test/state"}, Clock::now() + milliseconds(200));
  Require(!early_reply.has_value(), "the paused relay forwarded a request");
  relay.Resume();
  const bool resumed = WaitUntil(Clock::now() + seconds(5), [&client] {
    return client.Send({.path = "/test/state"}, Clock::now() + seconds(1))
        .has_value();
  });
  Require(resumed, "no response after the relay resumed");
}

// Guards against stand-ins that do not exit on SIGTERM, which would leave
// processes behind.
Test(standins, sigterm_ends_each_program) {
  const TemporaryDirectory directory;
  for (const char* name : {"log_service", "instance_list", "target"}) {
    Standin standin = StartStandin(directory, name);
    standin.process.Signal(SIGTERM);
    const auto status = standin.process.Wait(Clock::now() + seconds(5));
    Require(status.has_value() && *status == 0, name);
  }
}

}  // namespace snipehall::test
