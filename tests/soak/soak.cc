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

// Command-line options.
struct SoakOptions {
  std::uint64_t seed = 1;
  int run_seconds = 20;
  int gateways = 3;
  int targets = 6;
  int clients = 6;
};

// Time without faults after which requests must succeed again: the platform's
// limit for recovery.
constexpr seconds kRecoveryTime{15};
// Duration of the measurement of SoakClients::SuccessRatio() after the
// recovery.
constexpr seconds kMeasurementTime{3};
// Lowest acceptable success ratio in the measurement.
constexpr double kMinSuccessRatio = 0.95;

// Sends requests to the gateways from a number of threads, over new and over
// persistent connections, and records the outcomes.
class SoakClients {
 public:
  SoakClients(const GatewayCluster& cluster, const SoakOptions& options) {
    for (int i = 0; i < options.clients; ++i) {
      m_threads.emplace_back(
          [this, &cluster, i, seed = options.seed] { Run(cluster, i, seed); });
    }
  }
  ~SoakClients() { Stop(); }
  SoakClients(const SoakClients&) = delete;
  SoakClients& operator=(const SoakClients&) = delete;

  void Stop() {
    m_stopped = true;
    for (std::thread& thread : m_threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  // From now on requests count towards SuccessRatio().
  void StartMeasuring() { m_measuring = true; }
  // Fraction of the measured requests that got status 200; 0 if there are none.
  double SuccessRatio() const {
    return m_measured == 0 ? 0 : static_cast<double>(m_succeeded) / m_measured;
  }
  // All requests. Call after Stop().
  const std::vector<SoakRequest>& requests() const { return m_requests; }

 private:
  void Run(const GatewayCluster& cluster, int client, std::uint64_t seed) {
    std::mt19937_64 random(seed * 1000 + static_cast<std::uint64_t>(client));
    std::deque<HttpClient> persistent;
    for (std::size_t i = 0; i < cluster.gateways(); ++i) {
      persistent.emplace_back(cluster.address(i));
    }
    for (int number = 0; !m_stopped; ++number) {
      const std::size_t gateway = random() % cluster.gateways();
      SoakRequest request;
      request.id = "c" + std::to_string(client) + "-" + std::to_string(number);
      request.idempotent = random() % 3 != 0;
      const bool measuring = m_measuring;
      if (random() % 2 == 0) {
        Send(persistent[gateway], request, random());
      } else {
        HttpClient new_client(cluster.address(gateway));
        Send(new_client, request, random());
      }
      m_measured += measuring ? 1 : 0;
      m_succeeded += measuring && request.status == 200 ? 1 : 0;
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
    HttpClientRequest http_request;
    http_request.headers = {{"Host", "shop.example"},
                            {"Attempt-Id", request.id},
                            {"Deadline-Ms", "2000"}};
    if (request.idempotent) {
      http_request.path = "/catalog/item";
      http_request.headers["Shard-Key"] = std::to_string(random % 65536);
    } else {
      http_request.method = boost::beast::http::verb::post;
      http_request.path = "/booking/new";
      http_request.body = std::string(random % 100000, 'b');
    }
    const auto reply =
        client.Send(http_request, Clock::now() + milliseconds(3000));
    if (reply) {
      request.status = reply->status;
      request.matches = reply->body == "answer to " + request.id;
      request.signed_by_target = !reply->Header("response-signature").empty();
    }
  }

  std::atomic<bool> m_stopped = false;
  std::atomic<bool> m_measuring = false;
  std::atomic<int> m_measured = 0;
  std::atomic<int> m_succeeded = 0;
  std::mutex m_mutex;
  std::vector<SoakRequest> m_requests;
  std::vector<std::thread> m_threads;
};

// Injects random faults into a cluster at random times. Faults may overlap or
// follow each other immediately.
class FaultInjector {
 public:
  FaultInjector(GatewayCluster& cluster, std::uint64_t seed)
      : m_cluster(cluster), m_random(seed) {}

  // Number of faults injected so far.
  int count() const { return m_count; }

  // Injects faults until `end`, then undoes those still in effect.
  void Run(Clock::time_point end) {
    Clock::time_point next = Clock::now();
    while (Clock::now() < end) {
      if (Clock::now() >= next) {
        Inject();
        // One fault in five is followed by the next without a delay.
        next = Clock::now() +
               milliseconds(RandomBelow(5) == 0 ? 0 : RandomBelow(1500));
      }
      RunPendingUndos(Clock::now());
      std::this_thread::sleep_for(milliseconds(10));
    }
    RunPendingUndos(Clock::time_point::max());
  }

 private:
  struct PendingUndo {
    Clock::time_point at;
    std::function<void()> undo;
  };

  // Returns a random number from 0 to `bound` - 1.
  int RandomBelow(int bound) {
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound));
  }
  std::size_t RandomGateway() { return m_random() % m_cluster.gateways(); }
  std::size_t RandomTarget() { return m_random() % m_cluster.targets(); }

  // Calls `undo` when `time` has passed.
  void ScheduleUndo(milliseconds time, std::function<void()> undo) {
    m_pending.push_back({Clock::now() + time, std::move(undo)});
  }

  // Runs the undo functions that are due at `until`.
  void RunPendingUndos(Clock::time_point until) {
    // An undo function may schedule another one, so the search starts again
    // after each call.
    bool again = true;
    while (again) {
      again = false;
      for (auto it = m_pending.begin(); it != m_pending.end(); ++it) {
        if (it->at <= until) {
          const PendingUndo pending = std::move(*it);
          m_pending.erase(it);
          pending.undo();
          again = true;
          break;
        }
      }
    }
  }

  // Waits until the signalled process has ended, and starts it again.
  void Restart(std::size_t gateway) {
    m_cluster.Signal(gateway, SIGCONT);
    if (!m_cluster.WaitForExit(gateway, Clock::now() + seconds(8))) {
      throw TestFailure("a gateway did not exit in time");
    }
    m_cluster.Restart(gateway);
  }

  void KillAndRestart(std::size_t gateway) {
    m_cluster.Signal(gateway, SIGKILL);
    Restart(gateway);
  }

  void Inject() {
    ++m_count;
    const std::size_t gateway = RandomGateway();
    const std::size_t target = RandomTarget();
    const milliseconds time(200 + RandomBelow(5500));
    switch (RandomBelow(m_cluster.has_target_links() ? 19 : 16)) {
      case 0:
        return KillAndRestart(gateway);
      case 1:
        m_cluster.Signal(gateway, SIGTERM);
        return ScheduleUndo(milliseconds(6500),
                            [this, gateway] { KillAndRestart(gateway); });
      case 2:
        m_cluster.Signal(gateway, SIGSTOP);
        return ScheduleUndo(
            time, [this, gateway] { m_cluster.Signal(gateway, SIGCONT); });
      case 3:
        m_cluster.ControlStore("/test/outage",
                               RandomBelow(2) == 0
                                   ? R"({"on":true,"mode":"hang"})"
                                   : R"({"on":true,"mode":"refuse"})");
        return ScheduleUndo(time, [this] {
          m_cluster.ControlStore("/test/outage", R"({"on":false})");
        });
      case 4:
        m_cluster.StoreLink(gateway).Pause();
        return ScheduleUndo(
            time, [this, gateway] { m_cluster.StoreLink(gateway).Resume(); });
      case 5:
        m_cluster.StoreLink(gateway).PauseResponses();
        return ScheduleUndo(
            time, [this, gateway] { m_cluster.StoreLink(gateway).Resume(); });
      case 6:
        return m_cluster.StoreLink(gateway).ResetConnections();
      case 7:
        return m_cluster.ControlStore(
            "/test/drop_replies",
            "{\"count\":" + std::to_string(1 + RandomBelow(5)) + "}");
      case 8:
        return m_cluster.ControlStore("/test/expire", "{}");
      case 9:
        m_cluster.SignalTarget(target, SIGSTOP);
        return ScheduleUndo(
            time, [this, target] { m_cluster.SignalTarget(target, SIGCONT); });
      case 10:
        return m_cluster.ReplaceTarget(target);
      case 11:
        m_cluster.Signal(gateway, SIGHUP);
        return;
      case 12:
      case 13:
        m_cluster.ControlStore("/test/copy", "{}");
        return ScheduleUndo(
            time, [this] { m_cluster.ControlStore("/test/restore", "{}"); });
      case 14:
        // The target says that it is leaving, and leaves later.
        m_cluster.SignalTarget(target, SIGUSR1);
        return ScheduleUndo(
            time, [this, target] { m_cluster.ReplaceTarget(target); });
      case 16:
      case 17:
        m_cluster.CutOffFromTargets(gateway, true);
        return ScheduleUndo(time, [this, gateway] {
          m_cluster.CutOffFromTargets(gateway, false);
        });
      case 18:
        for (std::size_t i = 0; i < m_cluster.gateways(); ++i) {
          m_cluster.CutOffFromTargets(i, i != gateway);
        }
        return ScheduleUndo(time, [this] {
          for (std::size_t i = 0; i < m_cluster.gateways(); ++i) {
            m_cluster.CutOffFromTargets(i, false);
          }
        });
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
  std::list<PendingUndo> m_pending;
  int m_count = 0;
};

int Run(const SoakOptions& options) {
  GatewayCluster::Options sizes;
  sizes.gateways = options.gateways;
  sizes.unkeyed_targets = std::max(1, options.targets / 3);
  sizes.keyed_targets = std::max(1, options.targets - sizes.unkeyed_targets);
  // Links to the targets, which can be cut, give each gateway a zone of its
  // own; without them, gateways read the log through each other.
  sizes.target_links = options.seed % 2 == 1;
  GatewayCluster cluster(sizes);
  cluster.WaitUntilReady(Clock::now() + seconds(20));
  SoakClients clients(cluster, options);
  FaultInjector faults(cluster, options.seed);
  faults.Run(Clock::now() + seconds(options.run_seconds));
  std::this_thread::sleep_for(kRecoveryTime);
  clients.StartMeasuring();
  std::this_thread::sleep_for(kMeasurementTime);
  clients.Stop();
  std::vector<std::string> violations =
      CheckSoak(clients.requests(), cluster.Events());
  if (clients.SuccessRatio() < kMinSuccessRatio) {
    violations.push_back("service did not recover: success ratio " +
                         std::to_string(clients.SuccessRatio()));
  }
  std::cout << "seed " << options.seed << ": " << faults.count() << " faults, "
            << clients.requests().size() << " requests, " << violations.size()
            << " violations\n";
  for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 10);
       ++i) {
    std::cout << "  " << violations[i] << '\n';
  }
  return violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
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
  // getopt_long() is not thread-safe; no other thread runs yet.
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

// Randomized soak test: runs real gateways and stand-ins while faults are
// injected from outside, and checks the results.
int main(int argc, char** argv) {
  try {
    return snipehall::test::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
