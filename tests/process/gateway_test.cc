#include <boost/json.hpp>
#include <csignal>
#include <cstdint>
#include <map>
#include <string>

#include "process/support/gateway_cluster.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HttpClientRequest Read(int number, int key) {
  return {.path = "/catalog/item",
          .headers = {{"Host", "shop.example"},
                      {"Attempt-Id", "read-" + std::to_string(number)},
                      {"Deadline-Ms", "3000"},
                      {"Shard-Key", std::to_string(key)}}};
}

HttpClientRequest Book(int number) {
  return {.method = boost::beast::http::verb::post,
          .path = "/booking/new",
          .headers = {{"Host", "shop.example"},
                      {"Attempt-Id", "book-" + std::to_string(number)},
                      {"Deadline-Ms", "3000"}},
          .body = "deposit"};
}

// Sends until a status other than 503 comes.
int SendUntilServed(const std::string& address,
                    HttpClientRequest call,
                    Clock::time_point deadline) {
  int status = 0;
  int attempt = 0;
  const std::string id = call.headers["Attempt-Id"];
  while (Clock::now() < deadline) {
    call.headers["Attempt-Id"] = id + "." + std::to_string(++attempt);
    HttpClient client(address);
    const auto reply = client.Send(call, Clock::now() + seconds(4));
    status = reply ? reply->status : 0;
    if (status != 503 && status != 0) {
      return status;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return status;
}

Test(gateway, serves_keyed_and_plain_requests_whole) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  for (int i = 0; i < 60; ++i) {
    HttpClient client(cluster.address(i % cluster.gateways()));
    const HttpClientRequest call = i % 3 == 0 ? Book(i) : Read(i, i * 1000);
    const auto reply = client.Send(call, Clock::now() + seconds(4));
    Require(reply && reply->status == 200, "request " + std::to_string(i));
    Require(reply->body == "answer to " + call.headers.at("Attempt-Id"),
            "the answer is another request's");
    Require(!reply->Header("response-signature").empty(), "no signature");
  }
}

Test(gateway, refuses_what_no_route_allows) {
  GatewayCluster cluster({.gateways = 1});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  HttpClient client(cluster.address(0));
  HttpClientRequest call = Read(1, 1);
  call.path = "/unknown/item";
  const auto reply = client.Send(call, Clock::now() + seconds(4));
  Require(reply && reply->status == 404, "expected 404");
}

// Guards against a read that fails because its owner, which is not full,
// refuses it once: no other target may serve it.
Test(gateway, repeats_reads_at_an_owner_with_free_slots) {
  GatewayCluster cluster(
      {.gateways = 1, .keyed_targets = 1, .plain_targets = 0, .refused = 1});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  HttpClient client(cluster.address(0));
  const auto reply = client.Send(Read(1, 1), Clock::now() + seconds(4));
  Require(reply && reply->status == 200, "the read was not repeated");
}

// Guards against keys that stay without an owner when the leader is lost.
Test(gateway, keys_are_served_again_soon_after_the_leader_is_killed) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    cluster.Signal(i, SIGKILL);
    cluster.WaitForEnd(i, Clock::now() + seconds(5));
    const std::size_t other = (i + 1) % cluster.gateways();
    for (int key = 0; key < 65536; key += 8192) {
      const int status = SendUntilServed(cluster.address(other),
                                         Read(key + static_cast<int>(i), key),
                                         Clock::now() + seconds(6));
      Require(status == 200,
              "key " + std::to_string(key) + " got " + std::to_string(status));
    }
    cluster.Restart(i);
    Require(WaitUntil(Clock::now() + seconds(10),
                      [&] { return cluster.IsReady(i); }),
            "the restarted gateway is not ready");
  }
}

// Guards against keys that stay as they are for as long as a leader that still
// answers the other instances cannot reach the store.
Test(gateway, leader_without_the_store_is_replaced) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const std::string leader = cluster.Leader(0);
  std::size_t index = 0;
  while (cluster.name(index) != leader) {
    ++index;
  }
  const std::size_t other = (index + 1) % cluster.gateways();
  cluster.StoreLink(index).Stop();
  Require(WaitUntil(Clock::now() + seconds(8),
                    [&] {
                      const std::string name = cluster.Leader(other);
                      return !name.empty() && name != leader;
                    }),
          "no other instance has become the lead");
  cluster.StoreLink(index).Resume();
}

// Guards against a new leader after each outage of the store, which no instance
// could have used to do better.
Test(gateway, leader_stays_through_an_outage_of_the_store) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const std::string leader = cluster.Leader(0);
  cluster.ControlStore("/test/outage", R"({"on":true,"mode":"hang"})");
  std::this_thread::sleep_for(seconds(5));
  cluster.ControlStore("/test/outage", R"({"on":false})");
  std::this_thread::sleep_for(seconds(4));
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    Require(cluster.Leader(i) == leader, "the lead has changed");
  }
}

// Guards against a stop that cuts off requests, and against SIGHUP.
Test(gateway, stops_gracefully_and_reloads) {
  GatewayCluster cluster({.gateways = 2});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  cluster.Signal(0, SIGHUP);
  HttpClient client(cluster.address(0));
  Require(client.Send(Book(1), Clock::now() + seconds(4))->status == 200,
          "no answer after SIGHUP");
  cluster.Signal(0, SIGTERM);
  Require(
      WaitUntil(Clock::now() + seconds(2), [&] { return !cluster.IsReady(0); }),
      "still ready after SIGTERM");
  const auto reply = client.Send(Book(2), Clock::now() + seconds(4));
  Require(reply && reply->status == 200, "a kept connection was cut off");
  const auto status = cluster.WaitForEnd(0, Clock::now() + seconds(8));
  Require(status && *status == 0, "the gateway did not end with 0");
}

// Guards against keys that lapse while the store is away.
Test(gateway, serves_through_an_outage_of_the_store) {
  GatewayCluster cluster({.gateways = 2});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  cluster.ControlStore("/test/outage", R"({"on":true,"mode":"hang"})");
  const auto end = Clock::now() + seconds(6);
  int number = 0;
  while (Clock::now() < end) {
    HttpClient client(cluster.address(number % 2));
    const auto reply = client.Send(Read(number, (number * 977) % 65536),
                                   Clock::now() + seconds(4));
    Require(reply && reply->status == 200,
            "request " + std::to_string(number) + " in the outage got " +
                std::to_string(reply ? reply->status : 0));
    ++number;
  }
  cluster.ControlStore("/test/outage", R"({"on":false})");
}

// Guards against a configuration that is lost when the log's records expire.
Test(gateway, follows_the_store_after_its_records_expired) {
  GatewayCluster cluster({.gateways = 1});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  cluster.PublishPolicy(2, 1900);
  cluster.ControlStore("/test/expire", "{}");
  cluster.PublishPolicy(3, 1800);
  HttpClient client(cluster.address(0));
  Require(client.Send(Read(1, 1), Clock::now() + seconds(4))->status == 200,
          "not served after records expired");
}

}  // namespace
}  // namespace snipehall::test
