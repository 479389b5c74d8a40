#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "process/support/gateway_cluster.h"
#include "process/support/target_reporter.h"
#include "unit/support/fake_target.h"
#include "unit/support/raw_socket.h"

#include <criterion/criterion.h>

// Requests in progress while a gateway stops, with its shutdown limit of 6 s.

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kShutdownLimit{6};

std::string Response(const std::string& head) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + HeaderOf(head, "Attempt-Id") +
         "\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok";
}

std::string Request(const std::string& path) {
  return "GET /catalog/" + path +
         " HTTP/1.1\r\nHost: shop.example\r\nShard-Key: 1\r\nAttempt-Id: " +
         path + "\r\nDeadline-Ms: 8000\r\n\r\n";
}

std::string ReadStatus(RawSocket& caller) {
  const std::string head = caller.ReadThrough("\r\n\r\n");
  caller.ReadExactly(static_cast<std::size_t>(
      std::atoi(HeaderOf(head, "Content-Length").c_str())));
  return head.substr(0, head.find("\r\n"));
}

// Guards against a request that is ended although its target would respond
// before the last sixth of the shutdown limit. Requests that take longer are
// ended with a response before the process exits.
Test(planned_stop, requests_may_run_until_the_last_sixth_of_the_limit) {
  std::atomic<Clock::time_point> signalled{};
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    if (head.starts_with("GET /catalog/soon")) {
      std::this_thread::sleep_until(signalled.load() + milliseconds(4960));
    } else if (head.starts_with("GET /catalog/late")) {
      std::this_thread::sleep_until(signalled.load() + kShutdownLimit);
    } else {
      connection.ReadExactly(static_cast<std::size_t>(
          std::atoi(HeaderOf(head, "Content-Length").c_str())));
    }
    return connection.Send(Response(head));
  });
  GatewayCluster cluster(
      {.gateways = 1, .keyed_targets = 0, .unkeyed_targets = 0});
  cluster.PublishConfiguration(2, 8000);
  const TargetReporter reporter(cluster, "slow", "catalog", target.address());
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  RawSocket soon = RawSocket::Connect(cluster.address(0));
  RawSocket late = RawSocket::Connect(cluster.address(0));
  Require(WaitUntil(Clock::now() + seconds(10),
                    [&] {
                      soon.Send(Request("first"));
                      return ReadStatus(soon) == "HTTP/1.1 200 OK";
                    }),
          "no request was served");
  late.Send(Request("first"));
  Require(ReadStatus(late) == "HTTP/1.1 200 OK", "no request was served");
  signalled = Clock::now();
  cluster.Signal(0, SIGTERM);
  std::this_thread::sleep_until(signalled.load() + seconds(2));
  soon.Send(Request("soon"));
  late.Send(Request("late"));
  const std::string soon_status = ReadStatus(soon);
  const std::string late_status = ReadStatus(late);
  Require(soon_status == "HTTP/1.1 200 OK", "got \"" + soon_status + "\"");
  Require(late_status == "HTTP/1.1 504 Gateway Timeout",
          "got \"" + late_status + "\"");
  const auto status = cluster.WaitForExit(0, signalled.load() + kShutdownLimit);
  Require(status == 0, "the process has not ended in time");
}

}  // namespace
}  // namespace snipehall::test
