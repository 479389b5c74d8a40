#include <boost/json.hpp>
#include <csignal>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "process/support/gateway_cluster.h"
#include "unit/support/raw_socket.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HttpClientRequest CatalogRequest(int number, int key) {
  return {.path = "/catalog/item",
          .headers = {{"Host", "shop.example"},
                      {"Attempt-Id", "read-" + std::to_string(number)},
                      {"Deadline-Ms", "3000"},
                      {"Shard-Key", std::to_string(key)}}};
}

HttpClientRequest BookingRequest(int number) {
  return {.method = boost::beast::http::verb::post,
          .path = "/booking/new",
          .headers = {{"Host", "shop.example"},
                      {"Attempt-Id", "book-" + std::to_string(number)},
                      {"Deadline-Ms", "3000"}},
          .body = "deposit"};
}

// Repeats the request, each time with a new id and connection, until a response
// with a status other than 503 comes or `deadline` passes. Returns the last
// status, or 0 if the last attempt got no response.
int SendUntilServed(const std::string& address,
                    HttpClientRequest http_request,
                    Clock::time_point deadline) {
  int status = 0;
  int attempt = 0;
  const std::string id = http_request.headers["Attempt-Id"];
  while (Clock::now() < deadline) {
    http_request.headers["Attempt-Id"] = id + "." + std::to_string(++attempt);
    HttpClient client(address);
    const auto reply = client.Send(http_request, Clock::now() + seconds(4));
    status = reply ? reply->status : 0;
    if (status != 503 && status != 0) {
      return status;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return status;
}

Test(gateway, serves_keyed_and_unkeyed_requests_completely) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  for (int i = 0; i < 60; ++i) {
    HttpClient client(cluster.address(i % cluster.gateways()));
    const HttpClientRequest http_request =
        i % 3 == 0 ? BookingRequest(i) : CatalogRequest(i, i * 1000);
    const auto reply = client.Send(http_request, Clock::now() + seconds(4));
    Require(reply && reply->status == 200,
            "failed request " + std::to_string(i));
    Require(reply->body == "answer to " + http_request.headers.at("Attempt-Id"),
            "the response belongs to another request");
    Require(!reply->Header("response-signature").empty(),
            "the response has no signature");
  }
}

Test(gateway, refuses_requests_without_a_route) {
  GatewayCluster cluster({.gateways = 1});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  HttpClient client(cluster.address(0));
  HttpClientRequest http_request = CatalogRequest(1, 1);
  http_request.path = "/unknown/item";
  const auto reply = client.Send(http_request, Clock::now() + seconds(4));
  Require(reply && reply->status == 404, "expected status 404");
}

// Guards against a read that fails because the key's owner refuses it once
// although it has free slots. No other target may serve the key, so the gateway
// has to send the read to the same owner again.
Test(gateway, retries_reads_at_an_owner_with_free_slots) {
  GatewayCluster cluster({.gateways = 1,
                          .keyed_targets = 1,
                          .unkeyed_targets = 0,
                          .initial_refusals = 1});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  // The budget for retries is divided by the number of instances.
  Require(WaitUntil(Clock::now() + seconds(10),
                    [&] { return cluster.Metric(0, "instances") == 1; }),
          "the number of instances is not known");
  HttpClient client(cluster.address(0));
  const auto reply =
      client.Send(CatalogRequest(1, 1), Clock::now() + seconds(4));
  Require(reply && reply->status == 200, "the read was not retried");
}

// Guards against keys that stay without an owner after the leader was killed.
Test(gateway, keys_are_served_again_soon_after_the_leader_is_killed) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    cluster.Signal(i, SIGKILL);
    cluster.WaitForExit(i, Clock::now() + seconds(5));
    const std::size_t other = (i + 1) % cluster.gateways();
    for (int key = 0; key < 65536; key += 8192) {
      const int status =
          SendUntilServed(cluster.address(other),
                          CatalogRequest(key + static_cast<int>(i), key),
                          Clock::now() + seconds(6));
      Require(status == 200, "key " + std::to_string(key) + " got status " +
                                 std::to_string(status));
    }
    cluster.Restart(i);
    Require(WaitUntil(Clock::now() + seconds(10),
                      [&] { return cluster.IsReady(i); }),
            "the restarted gateway did not become ready");
  }
}

// Guards against a service that stays down after all instances have returned.
// `while_down` runs while no instance does.
void RequireServiceAfterReturnOfAllInstances(
    GatewayCluster& cluster,
    const std::function<void()>& while_down) {
  constexpr seconds kRecovery{15};
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    cluster.Signal(i, SIGKILL);
  }
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    cluster.WaitForExit(i, Clock::now() + seconds(5));
  }
  while_down();
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    cluster.Restart(i);
  }
  const Clock::time_point recovered = Clock::now() + kRecovery;
  for (int key = 0; key < 65536; key += 4096) {
    const std::size_t gateway = key / 4096 % cluster.gateways();
    const int read = SendUntilServed(cluster.address(gateway),
                                     CatalogRequest(key, key), recovered);
    Require(read == 200, "key " + std::to_string(key) + " got status " +
                             std::to_string(read));
  }
  const int booking =
      SendUntilServed(cluster.address(0), BookingRequest(1), recovered);
  Require(booking == 200, "the booking got status " + std::to_string(booking));
}

Test(gateway, serves_again_after_all_instances_were_killed) {
  GatewayCluster cluster({});
  RequireServiceAfterReturnOfAllInstances(cluster, [] {});
}

Test(gateway, serves_again_after_all_instances_and_a_target_were_killed) {
  GatewayCluster cluster({});
  RequireServiceAfterReturnOfAllInstances(cluster,
                                          [&] { cluster.ReplaceTarget(0); });
}

Test(gateway, serves_again_after_all_instances_returned_to_a_store_outage) {
  GatewayCluster cluster({});
  std::jthread end_of_outage;
  RequireServiceAfterReturnOfAllInstances(cluster, [&] {
    cluster.ControlStore("/test/outage", R"({"on":true,"mode":"hang"})");
    end_of_outage = std::jthread([&] {
      std::this_thread::sleep_for(seconds(4));
      cluster.ControlStore("/test/outage", R"({"on":false})");
    });
  });
}

// Guards against a key table that cannot change because the leader has lost its
// connection to the store but still answers the other instances.
Test(gateway, leader_without_the_store_is_replaced) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const std::string leader = cluster.Leader(0);
  std::size_t index = 0;
  while (cluster.name(index) != leader) {
    ++index;
  }
  const std::size_t other = (index + 1) % cluster.gateways();
  cluster.StoreLink(index).Pause();
  Require(WaitUntil(Clock::now() + seconds(8),
                    [&] {
                      const std::string name = cluster.Leader(other);
                      return !name.empty() && name != leader;
                    }),
          "no other gateway became the leader");
  cluster.StoreLink(index).Resume();
}

// Guards against a change of leader after an outage of the store. No instance
// can reach the store then, so another leader would be of no use.
Test(gateway, leader_is_kept_during_a_store_outage) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const std::string leader = cluster.Leader(0);
  cluster.ControlStore("/test/outage", R"({"on":true,"mode":"hang"})");
  std::this_thread::sleep_for(seconds(5));
  cluster.ControlStore("/test/outage", R"({"on":false})");
  std::this_thread::sleep_for(seconds(4));
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    Require(cluster.Leader(i) == leader, "the leader changed");
  }
}

// Guards against a shutdown that aborts requests or closes connections in use,
// and against a gateway that ends or stops serving on SIGHUP.
Test(gateway, stops_gracefully_and_reloads) {
  GatewayCluster cluster({.gateways = 2});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  cluster.Signal(0, SIGHUP);
  HttpClient client(cluster.address(0));
  Require(
      client.Send(BookingRequest(1), Clock::now() + seconds(4))->status == 200,
      "request failed after SIGHUP");
  cluster.Signal(0, SIGTERM);
  Require(
      WaitUntil(Clock::now() + seconds(2), [&] { return !cluster.IsReady(0); }),
      "still ready after SIGTERM");
  const auto reply = client.Send(BookingRequest(2), Clock::now() + seconds(4));
  Require(reply && reply->status == 200,
          "a request on a persistent connection failed during the shutdown");
  const auto status = cluster.WaitForExit(0, Clock::now() + seconds(8));
  Require(status && *status == 0, "the gateway did not exit with status 0");
}

// Guards against a process that crashes when it ends with requests unfinished:
// the work on it must be destroyed before the state that it refers to.
Test(gateway, ends_cleanly_with_requests_in_progress) {
  constexpr int kCallers = 8;
  GatewayCluster cluster({.gateways = 1, .unkeyed_targets = 1});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  for (std::size_t i = 0; i < cluster.targets(); ++i) {
    cluster.SignalTarget(i, SIGSTOP);
  }
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&cluster, i] {
      HttpClient client(cluster.address(0));
      HttpClientRequest request = BookingRequest(i);
      request.headers["Deadline-Ms"] = "20000";
      (void)client.Send(request, Clock::now() + seconds(10));
    });
  }
  std::this_thread::sleep_for(milliseconds(300));
  cluster.Signal(0, SIGTERM);
  const auto status = cluster.WaitForExit(0, Clock::now() + seconds(10));
  for (std::size_t i = 0; i < cluster.targets(); ++i) {
    cluster.SignalTarget(i, SIGCONT);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  Require(status.has_value(), "the gateway did not exit");
  Require(*status == 0, "exit status " + std::to_string(*status));
}

// Guards against key leases that expire while the store is unreachable.
Test(gateway, serves_requests_during_a_store_outage) {
  GatewayCluster cluster({.gateways = 2});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  cluster.ControlStore("/test/outage", R"({"on":true,"mode":"hang"})");
  const auto end = Clock::now() + seconds(6);
  int number = 0;
  while (Clock::now() < end) {
    HttpClient client(cluster.address(number % 2));
    const auto reply =
        client.Send(CatalogRequest(number, (number * 977) % 65536),
                    Clock::now() + seconds(4));
    Require(reply && reply->status == 200,
            "request " + std::to_string(number) +
                " during the outage got status " +
                std::to_string(reply ? reply->status : 0));
    ++number;
  }
  cluster.ControlStore("/test/outage", R"({"on":false})");
}

// Guards against a configuration that is lost when records in the store's log
// expire.
Test(gateway, follows_the_store_after_its_records_expired) {
  GatewayCluster cluster({.gateways = 1});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  cluster.PublishConfiguration(2, 1900);
  cluster.ControlStore("/test/expire", "{}");
  cluster.PublishConfiguration(3, 1800);
  HttpClient client(cluster.address(0));
  Require(
      client.Send(CatalogRequest(1, 1), Clock::now() + seconds(4))->status ==
          200,
      "request failed after the records expired");
}

// Guards against requests in a planned stop that are sent to a target and get
// no response because the process ends first.
Test(gateway, requests_that_outlast_a_planned_stop_are_answered) {
  constexpr int kCallers = 12;
  // Up to 8 s of work; the process ends 5.1 s after the signal.
  GatewayCluster cluster({.gateways = 2, .keyed_targets = 4, .work_ms = 4000});
  cluster.PublishConfiguration(2, 8000);
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  std::vector<RawSocket> callers;
  const Clock::time_point signalled = Clock::now();
  cluster.Signal(0, SIGTERM);
  std::this_thread::sleep_until(signalled + milliseconds(2200));
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(RawSocket::Connect(cluster.address(0)));
    callers.back().Send(
        "GET /catalog/item HTTP/1.1\r\nHost: shop.example\r\nShard-Key: " +
        std::to_string(i * 5000) + "\r\nAttempt-Id: late-" + std::to_string(i) +
        "\r\nDeadline-Ms: 8000\r\n\r\n");
  }
  int answered = 0;
  for (RawSocket& caller : callers) {
    const std::string response = caller.ReadThrough("\r\n\r\n");
    answered += response.ends_with("\r\n\r\n") ? 1 : 0;
  }
  Require(answered == kCallers,
          std::to_string(answered) + " requests were answered");
  Require(cluster.WaitForExit(0, signalled + seconds(6)).has_value(),
          "the process has not ended in time");
}

}  // namespace
}  // namespace snipehall::test
