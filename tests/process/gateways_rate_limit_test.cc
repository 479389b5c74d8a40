#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "process/support/gateway_cluster.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLimit = 10;
constexpr const char* kLimitText = "10.0";
// What the platform allows in any span of this length, from kSettleTime after
// the limit was first named.
constexpr milliseconds kSpan{4000};
constexpr milliseconds kSettleTime{3000};
constexpr std::size_t kAllowed = 1.5 * kLimit * 4 + 5;

// Callers that send reads of random keys to all gateways, about 80 a second,
// until the object is destroyed.
class Callers {
 public:
  explicit Callers(const GatewayCluster& cluster) {
    for (std::size_t i = 0; i < cluster.gateways(); ++i) {
      m_threads.emplace_back(
          [this, address = cluster.address(i), i] { Run(address, i); });
    }
  }
  ~Callers() {
    m_stopped = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  int served() const { return m_served; }
  // Responses that are neither a success nor a refusal in time.
  int failed() const { return m_failed; }

 private:
  void Run(const std::string& address, std::size_t caller) {
    HttpClient client(address);
    for (int i = 0; !m_stopped; ++i) {
      const std::string id = std::to_string(caller) + "-" + std::to_string(i);
      const auto begin = Clock::now();
      const auto reply =
          client.Send({.path = "/catalog/item",
                       .headers = {{"Host", "shop.example"},
                                   {"Attempt-Id", id},
                                   {"Deadline-Ms", "2000"},
                                   {"Shard-Key", std::to_string(i % 65536)}}},
                      begin + seconds(3));
      const bool refused = reply && reply->status == 503 &&
                           Clock::now() - begin < milliseconds(500);
      m_served += reply && reply->status == 200 ? 1 : 0;
      m_failed += reply && (reply->status == 200 || refused) ? 0 : 1;
      std::this_thread::sleep_until(begin + milliseconds(37));
    }
  }

  std::atomic<bool> m_stopped = false;
  std::atomic<int> m_served = 0;
  std::atomic<int> m_failed = 0;
  std::vector<std::thread> m_threads;
};

// Times at which the targets began requests, in milliseconds.
std::vector<std::int64_t> BeginTimes(const GatewayCluster& cluster) {
  std::vector<std::int64_t> times;
  for (const std::string& line : cluster.Events()) {
    const auto event = boost::json::parse(line).as_object();
    if (event.at("event").as_string() == "begin") {
      times.push_back(event.at("ms").as_int64());
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

void RequireLimitKept(const GatewayCluster& cluster) {
  const std::vector<std::int64_t> times = BeginTimes(cluster);
  Require(!times.empty(), "no request was served");
  const auto settled = std::lower_bound(times.begin(), times.end(),
                                        times.front() + kSettleTime.count());
  for (auto first = settled; first != times.end(); ++first) {
    const auto end =
        std::upper_bound(first, times.end(), *first + kSpan.count());
    const auto count = static_cast<std::size_t>(end - first);
    Require(count <= kAllowed, std::to_string(count) +
                                   " requests in 4 s, allowed " +
                                   std::to_string(kAllowed));
  }
}

// Load: three gateways get eight times as many requests as their target takes.
Test(gateways_rate_limit, gateways_together_keep_the_limit_of_a_target) {
  GatewayCluster cluster(
      {.keyed_targets = 1, .unkeyed_targets = 0, .rate_limit = kLimitText});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const Callers callers(cluster);
  std::this_thread::sleep_for(kSettleTime);
  const int served_before = callers.served();
  std::this_thread::sleep_for(milliseconds(9000));
  const int served = callers.served() - served_before;
  RequireLimitKept(cluster);
  Require(callers.failed() == 0,
          std::to_string(callers.failed()) + " requests failed");
  Require(served >= 0.8 * kLimit * 9,
          "only " + std::to_string(served) + " requests served in 9 s");
}

// Load: the same while the leader, which grants the permits, is replaced.
Test(gateways_rate_limit, limit_of_a_target_is_kept_without_the_leader) {
  GatewayCluster cluster(
      {.keyed_targets = 1, .unkeyed_targets = 0, .rate_limit = kLimitText});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const std::string leader = cluster.Leader(0);
  std::size_t killed = 0;
  while (killed + 1 < cluster.gateways() && cluster.name(killed) != leader) {
    ++killed;
  }
  {
    const Callers callers(cluster);
    std::this_thread::sleep_for(kSettleTime);
    cluster.Signal(killed, SIGKILL);
    cluster.WaitForExit(killed, Clock::now() + seconds(5));
    std::this_thread::sleep_for(milliseconds(5000));
    cluster.Restart(killed);
    std::this_thread::sleep_for(milliseconds(3000));
  }
  RequireLimitKept(cluster);
}

}  // namespace
}  // namespace snipehall::test
