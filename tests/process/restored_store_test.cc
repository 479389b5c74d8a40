#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "process/support/gateway_cluster.h"
#include "soak/soak_checks.h"

#include <criterion/criterion.h>

// The store comes back from an older copy, without the key tables that were
// appended since.

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' limit for service after a disruption.
constexpr seconds kRecovery{15};

// Sends a read of `key` until it is served or `deadline` passes.
bool IsServed(const std::string& address, int key, Clock::time_point deadline) {
  static int number = 0;
  return WaitUntil(deadline, [&] {
    const std::string id = "read-" + std::to_string(++number);
    const auto reply = HttpClient(address).Send(
        {.path = "/catalog/item",
         .headers = {{"Host", "shop.example"},
                     {"Attempt-Id", id},
                     {"Deadline-Ms", "2000"},
                     {"Shard-Key", std::to_string(key)}}},
        Clock::now() + seconds(3));
    return reply && reply->status == 200;
  });
}

void RequireAllKeysServed(const GatewayCluster& cluster,
                          Clock::time_point deadline) {
  for (int key = 0; key < 65536; key += 2048) {
    const std::size_t gateway = key / 2048 % cluster.gateways();
    Require(IsServed(cluster.address(gateway), key, deadline),
            "key " + std::to_string(key) + " is not served");
  }
}

// Starts a cluster and changes the owners of keys after the copy was made.
void ChangeOwnersAfterCopy(GatewayCluster& cluster) {
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  RequireAllKeysServed(cluster, Clock::now() + seconds(15));
  cluster.ControlStore("/test/copy", "{}");
  cluster.ReplaceTarget(0);
  RequireAllKeysServed(cluster, Clock::now() + kRecovery);
}

void RequireOneOwnerPerKey(const GatewayCluster& cluster) {
  const std::vector<std::string> violations = CheckSoak({}, cluster.Events());
  for (const std::string& violation : violations) {
    // The requests of this test are not recorded.
    Require(violation.starts_with("ran but was never sent"), violation);
  }
}

// Returns a description of each lease that ended although its target neither
// released the key nor died, because the lease was not renewed in time. Checks
// one key of 1024.
std::vector<std::string> LapsedLeases(const std::vector<std::string>& events) {
  std::vector<std::string> lapsed;
  // Ends of the leases by target and key.
  std::map<std::string, std::map<std::int64_t, std::int64_t>> ends;
  for (const std::string& line : events) {
    const auto event = boost::json::parse(line).as_object();
    const std::string kind(event.at("event").as_string());
    const std::string target(event.at("target").as_string());
    if (kind == "dead") {
      ends.erase(target);
    }
    if (kind != "grant" && kind != "release") {
      continue;
    }
    const std::int64_t last = event.at("last").as_int64();
    for (std::int64_t key = 0; key <= last; key += 1024) {
      if (key < event.at("first").as_int64()) {
        continue;
      }
      const auto known = ends[target].find(key);
      if (kind == "grant" && known != ends[target].end() &&
          known->second < event.at("ms").as_int64()) {
        std::string description = target;
        description.append(" lost key ").append(std::to_string(key));
        description.append(" at ").append(std::to_string(known->second));
        lapsed.push_back(description.append(", ").append(line));
      }
      ends[target].erase(key);
      if (kind == "grant") {
        ends[target][key] = event.at("until_ms").as_int64();
      }
    }
  }
  return lapsed;
}

// Guards against a keyed service that ends with the leases of the last key
// table, because tables are appended at offsets that no longer exist.
Test(restored_store, keys_are_served_and_keep_their_owners) {
  GatewayCluster cluster({});
  ChangeOwnersAfterCopy(cluster);
  cluster.ControlStore("/test/restore", "{}");
  const Clock::time_point restored = Clock::now();
  std::this_thread::sleep_until(restored + seconds(10));
  RequireAllKeysServed(cluster, restored + kRecovery);
  const std::vector<std::string> lapsed = LapsedLeases(cluster.Events());
  Require(lapsed.empty(), lapsed.empty() ? "" : lapsed.front());
  cluster.ReplaceTarget(1);
  RequireAllKeysServed(cluster, Clock::now() + kRecovery);
  RequireOneOwnerPerKey(cluster);
}

// Guards against fencing tokens that are used again because the tables that
// assigned them are lost.
Test(restored_store, restarted_instances_use_no_token_again) {
  GatewayCluster cluster({});
  ChangeOwnersAfterCopy(cluster);
  cluster.ControlStore("/test/restore", "{}");
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    cluster.Signal(i, SIGKILL);
    cluster.WaitForExit(i, Clock::now() + seconds(5));
    cluster.Restart(i);
  }
  cluster.ReplaceTarget(1);
  RequireAllKeysServed(cluster, Clock::now() + kRecovery);
  RequireOneOwnerPerKey(cluster);
}

// Guards against two owners when the leader that knows the lost tables is
// killed after the store has returned.
Test(restored_store, leader_is_killed_after_the_return) {
  GatewayCluster cluster({});
  ChangeOwnersAfterCopy(cluster);
  const std::string leader = cluster.Leader(0);
  cluster.ControlStore("/test/restore", "{}");
  std::size_t index = 0;
  while (index + 1 < cluster.gateways() && cluster.name(index) != leader) {
    ++index;
  }
  cluster.Signal(index, SIGKILL);
  cluster.WaitForExit(index, Clock::now() + seconds(5));
  cluster.Restart(index);
  RequireAllKeysServed(cluster, Clock::now() + kRecovery);
  cluster.ReplaceTarget(1);
  RequireAllKeysServed(cluster, Clock::now() + kRecovery);
  RequireOneOwnerPerKey(cluster);
}

// Guards against a second return of the store while the first is being handled.
Test(restored_store, keys_are_served_after_two_restores) {
  GatewayCluster cluster({});
  ChangeOwnersAfterCopy(cluster);
  cluster.ControlStore("/test/restore", "{}");
  std::this_thread::sleep_for(milliseconds(1500));
  cluster.ControlStore("/test/restore", "{}");
  const Clock::time_point restored = Clock::now();
  std::this_thread::sleep_until(restored + seconds(10));
  RequireAllKeysServed(cluster, restored + kRecovery);
  RequireOneOwnerPerKey(cluster);
}

// Guards against an instance without the store that follows the lost part of a
// topic, since it hears of the restore from the instance that relays it only.
Test(restored_store, instance_without_the_store_follows_its_relay) {
  GatewayCluster cluster({});
  ChangeOwnersAfterCopy(cluster);
  const std::string leader = cluster.Leader(0);
  const std::size_t cut = cluster.name(0) == leader ? 1 : 0;
  cluster.StoreLink(cut).Pause();
  std::this_thread::sleep_for(seconds(3));
  cluster.ControlStore("/test/restore", "{}");
  Require(WaitUntil(Clock::now() + seconds(6),
                    [&] {
                      return cluster.Metric(cut, "log_era keys") == 2 &&
                             cluster.Metric(cut, "log_era targets") == 2;
                    }),
          "the instance without the store is in the earlier era");
  cluster.ReplaceTarget(1);
  for (int key = 0; key < 65536; key += 4096) {
    Require(IsServed(cluster.address(cut), key, Clock::now() + kRecovery),
            "key " + std::to_string(key) + " is not served");
  }
  RequireOneOwnerPerKey(cluster);
}

// Guards against a confirmed configuration that is replaced by the older one of
// the copy.
Test(restored_store, configuration_does_not_go_back) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  cluster.ControlStore("/test/copy", "{}");
  cluster.PublishConfiguration(2, 2000);
  const auto all_have = [&](double version) {
    for (std::size_t i = 0; i < cluster.gateways(); ++i) {
      if (cluster.Metric(i, "configuration") != version) {
        return false;
      }
    }
    return true;
  };
  Require(WaitUntil(Clock::now() + seconds(2), [&] { return all_have(2); }),
          "the configuration is not in force");
  cluster.ControlStore("/test/restore", "{}");
  const Clock::time_point restored = Clock::now();
  while (Clock::now() < restored + seconds(3)) {
    Require(all_have(2), "the configuration went back");
    std::this_thread::sleep_for(milliseconds(100));
  }
  cluster.PublishConfiguration(3, 2000);
  Require(WaitUntil(Clock::now() + seconds(2), [&] { return all_have(3); }),
          "the configuration after the return is not in force");
}

}  // namespace
}  // namespace snipehall::test
