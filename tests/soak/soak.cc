#include <getopt.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <list>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "process/support/gateway_cluster.h"
#include "soak/soak_checks.h"

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct SoakOptions {
  std::uint64_t seed = 1;
  int run_seconds = 20;
  int gateways = 3;
  int targets = 6;
  int clients = 6;
};

// Time without faults after which service must be back, as the platform's
// bound for recovery says.
constexpr seconds kRecovery{15};
// Time after that in which requests count.
constexpr seconds kServed{3};
// Part of these that must be served.
constexpr double kServedShare = 0.95;

// Sends requests to the gateways from threads of its own, on new and on kept
// connections.
class Clients {
 public:
  Clients(const GatewayCluster& cluster, const SoakOptions& options) {
    for (int i = 0; i < options.clients; ++i) {
      m_threads.emplace_back(
          [this, &cluster, i, seed = options.seed] { Run(cluster, i, seed); });
    }
  }
  ~Clients() { Stop(); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void Stop() {
    m_stopped = true;
    for (std::thread& thread : m_threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  // From now on requests count for ServedShare().
  void StartCounting() { m_counting = true; }
  double ServedShare() const {
    return m_counted == 0 ? 0 : static_cast<double>(m_served) / m_counted;
  }
  const std::vector<SoakRequest>& requests() const { return m_requests; }

 private:
  void Run(const GatewayCluster& cluster, int client, std::uint64_t seed) {
    std::mt19937_64 random(seed * 1000 + static_cast<std::uint64_t>(client));
    std::deque<HttpClient> kept;
    for (std::size_t i = 0; i < cluster.gateways(); ++i) {
      kept.emplace_back(cluster.address(i));
    }
    for (int number = 0; !m_stopped; ++number) {
      const std::size_t gateway = random() % cluster.gateways();
      SoakRequest request;
      request.id = "c" + std::to_string(client) + "-" + std::to_string(number);
      request.idempotent = random() % 3 != 0;
      const bool counting = m_counting;
      if (random() % 2 == 0) {
        Send(kept[gateway], request, random());
      } else {
        HttpClient fresh(cluster.address(gateway));
        Send(fresh, request, random());
      }
      m_counted += counting ? 1 : 0;
      m_served += counting && request.status == 200 ? 1 : 0;
      {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(std::move(request));
      }
      std::this_thread::sleep_for(milliseconds(random() % 40));
    }
  }

  static void Send(HttpClient& client,
                   SoakRequest& request,
                   std::uint64_t random) {
    HttpClientRequest call;
    call.headers = {{"Host", "shop.example"},
                    {"Attempt-Id", request.id},
                    {"Deadline-Ms", "2000"}};
    if (request.idempotent) {
      call.path = "/catalog/item";
      call.headers["Shard-Key"] = std::to_string(random % 65536);
    } else {
      call.method = boost::beast::http::verb::post;
      call.path = "/booking/new";
      call.body = std::string(random % 100000, 'b');
    }
    const auto reply = client.Send(call, Clock::now() + milliseconds(3000));
    if (reply) {
      request.status = reply->status;
      request.matches = reply->body == "answer to " + request.id;
      request.signed_by_target = !reply->Header("response-signature").empty();
    }
  }

  std::atomic<bool> m_stopped = false;
  std::atomic<bool> m_counting = false;
  std::atomic<int> m_counted = 0;
  std::atomic<int> m_served = 0;
  std::mutex m_mutex;
  std::vector<SoakRequest> m_requests;
  std::vector<std::thread> m_threads;
};

// Injects faults at random times; they overlap and come in series.
class Faults {
 public:
  Faults(GatewayCluster& cluster, std::uint64_t seed)
      : m_cluster(cluster), m_random(seed) {}

  int count() const { return m_count; }

  // Injects faults until `end`, then undoes what is left.
  void Run(Clock::time_point end) {
    Clock::time_point next = Clock::now();
    while (Clock::now() < end) {
      if (Clock::now() >= next) {
        Inject();
        // Now and then several at once.
        next = Clock::now() + milliseconds(Below(5) == 0 ? 0 : Below(1500));
      }
      Undo(Clock::now());
      std::this_thread::sleep_for(milliseconds(10));
    }
    Undo(Clock::time_point::max());
  }

 private:
  struct Pending {
    Clock::time_point at;
    std::function<void()> undo;
  };

  int Below(int bound) {
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound));
  }
  std::size_t Gateway() { return m_random() % m_cluster.gateways(); }
  std::size_t Target() { return m_random() % m_cluster.targets(); }

  void Later(milliseconds time, std::function<void()> undo) {
    m_pending.push_back({Clock::now() + time, std::move(undo)});
  }

  void Undo(Clock::time_point until) {
    // An undo may add another one.
    bool again = true;
    while (again) {
      again = false;
      for (auto it = m_pending.begin(); it != m_pending.end(); ++it) {
        if (it->at <= until) {
          const Pending pending = std::move(*it);
          m_pending.erase(it);
          pending.undo();
          again = true;
          break;
        }
      }
    }
  }

  void Restart(std::size_t gateway) {
    m_cluster.Signal(gateway, SIGCONT);
    if (!m_cluster.WaitForEnd(gateway, Clock::now() + seconds(8))) {
      throw TestFailure("a gateway did not end in time");
    }
    m_cluster.Restart(gateway);
  }

  void Kill(std::size_t gateway) {
    m_cluster.Signal(gateway, SIGKILL);
    Restart(gateway);
  }

  void Inject() {
    ++m_count;
    const std::size_t gateway = Gateway();
    const std::size_t target = Target();
    const milliseconds time(200 + Below(5500));
    switch (Below(13)) {
      case 0:
        return Kill(gateway);
      case 1:
        m_cluster.Signal(gateway, SIGTERM);
        return Later(milliseconds(6500), [this, gateway] { Kill(gateway); });
      case 2:
        m_cluster.Signal(gateway, SIGSTOP);
        return Later(time,
                     [this, gateway] { m_cluster.Signal(gateway, SIGCONT); });
      case 3:
        m_cluster.ControlStore(
            "/test/outage", Below(2) == 0 ? R"({"on":true,"mode":"hang"})"
                                          : R"({"on":true,"mode":"refuse"})");
        return Later(time, [this] {
          m_cluster.ControlStore("/test/outage", R"({"on":false})");
        });
      case 4:
        m_cluster.StoreLink(gateway).Stop();
        return Later(
            time, [this, gateway] { m_cluster.StoreLink(gateway).Resume(); });
      case 5:
        m_cluster.StoreLink(gateway).StopAnswers();
        return Later(
            time, [this, gateway] { m_cluster.StoreLink(gateway).Resume(); });
      case 6:
        return m_cluster.StoreLink(gateway).Reset();
      case 7:
        return m_cluster.ControlStore(
            "/test/drop_replies",
            "{\"count\":" + std::to_string(1 + Below(5)) + "}");
      case 8:
        return m_cluster.ControlStore("/test/expire", "{}");
      case 9:
        m_cluster.SignalTarget(target, SIGSTOP);
        return Later(
            time, [this, target] { m_cluster.SignalTarget(target, SIGCONT); });
      case 10:
        return m_cluster.ReplaceTarget(target);
      case 11:
        m_cluster.Signal(gateway, SIGHUP);
        return;
      default:
        for (std::size_t i = 0; i < m_cluster.gateways(); ++i) {
          m_cluster.Signal(i, SIGKILL);
        }
        for (std::size_t i = 0; i < m_cluster.gateways(); ++i) {
          Restart(i);
        }
    }
  }

  GatewayCluster& m_cluster;
  std::mt19937_64 m_random;
  std::list<Pending> m_pending;
  int m_count = 0;
};

int Run(const SoakOptions& options) {
  GatewayCluster::Options sizes;
  sizes.gateways = options.gateways;
  sizes.plain_targets = std::max(1, options.targets / 3);
  sizes.keyed_targets = std::max(1, options.targets - sizes.plain_targets);
  GatewayCluster cluster(sizes);
  cluster.WaitUntilReady(Clock::now() + seconds(20));
  Clients clients(cluster, options);
  Faults faults(cluster, options.seed);
  faults.Run(Clock::now() + seconds(options.run_seconds));
  std::this_thread::sleep_for(kRecovery);
  clients.StartCounting();
  std::this_thread::sleep_for(kServed);
  clients.Stop();
  std::vector<std::string> broken =
      CheckSoak(clients.requests(), cluster.Events());
  if (clients.ServedShare() < kServedShare) {
    broken.push_back("not served again: a share of " +
                     std::to_string(clients.ServedShare()));
  }
  std::cout << "seed " << options.seed << ": " << faults.count() << " faults, "
            << clients.requests().size() << " requests, " << broken.size()
            << " broken promises\n";
  for (std::size_t i = 0; i < std::min<std::size_t>(broken.size(), 10); ++i) {
    std::cout << "  " << broken[i] << '\n';
  }
  return broken.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

int Main(int argc, char** argv) {
  SoakOptions options;
  const std::array<option, 6> names = {{
      {"seed", required_argument, nullptr, 's'},
      {"seconds", required_argument, nullptr, 't'},
      {"gateways", required_argument, nullptr, 'g'},
      {"targets", required_argument, nullptr, 'e'},
      {"clients", required_argument, nullptr, 'c'},
      {nullptr, 0, nullptr, 0},
  }};
  int found = 0;
  // No other thread runs yet.
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  while ((found = getopt_long(argc, argv, "", names.data(), nullptr)) != -1) {
    const int value = optarg == nullptr ? 0 : std::atoi(optarg);
    switch (found) {
      case 's':
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 't':
        options.run_seconds = value;
        break;
      case 'g':
        options.gateways = value;
        break;
      case 'e':
        options.targets = value;
        break;
      case 'c':
        options.clients = value;
        break;
      default:
        std::cerr << "usage: soak [--seed N] [--seconds N] [--gateways N]"
                     " [--targets N] [--clients N]\n";
        return 2;
    }
  }
  return Run(options);
}

}  // namespace
}  // namespace snipehall::test

// Randomized soak: real gateways and stand-ins under faults from outside.
int main(int argc, char** argv) {
  try {
    return snipehall::test::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
