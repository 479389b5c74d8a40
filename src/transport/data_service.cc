#include "transport/data_service.h"

#include <glog/logging.h>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/outcome/try.hpp>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include "transport/caller_session.h"
#include "transport/data_context.h"
#include "transport/tcp_endpoint.h"

namespace snipehall {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Acceptor = boost::asio::basic_socket_acceptor<tcp, Executor>;

// Interval of metric updates, health probes and pool pruning.
constexpr Milliseconds kMaintenanceInterval{50};
// Delay after a failed accept, for example when no file descriptor is
// available.
constexpr Milliseconds kAcceptRetryDelay{50};
constexpr int kListenBacklog = 4096;
// Maximum number of open caller connections. An idle one uses about 10 KiB.
constexpr std::size_t kMaxCallerConnections = 16384;

std::uint64_t RandomNumber() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

std::string FormatEndpoint(const tcp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  return (endpoint.address().is_v6() ? "[" + host + "]" : host) + ":" +
         std::to_string(endpoint.port());
}

}  // namespace

// Owns the data thread and all objects used on it.
class DataService::Impl {
 public:
  Impl(const Settings& settings, Inputs inputs)
      : m_context(m_io_context.get_executor(),
                  settings,
                  std::move(inputs),
                  RandomNumber()),
        m_acceptor(m_io_context.get_executor()),
        m_accept_timer(m_io_context.get_executor()),
        m_maintenance_timer(m_io_context.get_executor()) {}

  ~Impl() {
    if (m_thread.joinable()) {
      boost::asio::post(m_io_context, [this] { Stop(); });
      m_thread.join();
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Result<void> Listen(const std::string& address) {
    BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, ParseTcpEndpoint(address));
    try {
      m_acceptor.open(endpoint.protocol());
      m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
      m_acceptor.bind(endpoint);
      m_acceptor.listen(kListenBacklog);
      m_acceptor.non_blocking(true);
      m_address = FormatEndpoint(m_acceptor.local_endpoint());
    } catch (const boost::system::system_error& error) {
      return Fail(ErrorCode::kUnavailable,
                  "cannot listen on " + address + ": " + error.what());
    }
    return boost::outcome_v2::success();
  }

  void StartThread() {
    boost::asio::co_spawn(m_io_context, AcceptLoop(), boost::asio::detached);
    ScheduleMaintenance();
    m_thread = std::thread([this] { m_io_context.run(); });
  }

  const std::string& address() const { return m_address; }

  int Drain(MonotonicTime deadline) {
    boost::asio::post(m_io_context, [this] { StartDrain(); });
    std::unique_lock lock(m_mutex);
    m_drained_condition.wait_until(lock, deadline,
                                   [this] { return m_drained; });
    return m_requests_in_progress;
  }

 private:
  Task<void> AcceptLoop() {
    while (m_acceptor.is_open()) {
      if (m_context.sessions.size() >= kMaxCallerConnections) {
        // Further connections wait in the listen backlog.
        m_accept_timer.expires_after(kAcceptRetryDelay);
        co_await m_accept_timer.async_wait(kAsTuple);
        continue;
      }
      auto [error, socket] = co_await m_acceptor.async_accept(kAsTuple);
      if (!error) {
        StartSession(Socket(std::move(socket)));
        continue;
      }
      if (m_acceptor.is_open() &&
          error != boost::asio::error::operation_aborted) {
        m_accept_timer.expires_after(kAcceptRetryDelay);
        co_await m_accept_timer.async_wait(kAsTuple);
      }
    }
  }

  void StartSession(Socket socket) {
    auto session =
        std::make_shared<CallerSession>(m_context, std::move(socket));
    boost::asio::co_spawn(
        m_io_context, [session] { return session->Run(); },
        boost::asio::detached);
  }

  // Accepts the connections in the listen backlog, since closing the listener
  // would reset them.
  void AcceptPending() {
    error_code error;
    while (!error) {
      Socket socket(m_io_context.get_executor());
      m_acceptor.accept(socket, error);
      if (!error) {
        StartSession(std::move(socket));
      }
    }
  }

  void CloseListener() {
    error_code ignored;
    m_acceptor.close(ignored);
    m_accept_timer.cancel();
  }

  void StartDrain() {
    if (m_context.draining) {
      return;
    }
    m_context.draining = true;
    if (m_acceptor.is_open()) {
      AcceptPending();
    }
    CloseListener();
    for (CallerSession* session : m_context.sessions) {
      session->OnDrain();
    }
    PublishDrainProgress();
  }

  // Reports the number of requests in progress to Drain().
  void PublishDrainProgress() {
    int requests = 0;
    for (const CallerSession* session : m_context.sessions) {
      requests += session->has_request() ? 1 : 0;
    }
    const std::lock_guard lock(m_mutex);
    m_requests_in_progress = requests;
    m_drained = m_context.sessions.empty();
    if (m_drained) {
      m_drained_condition.notify_all();
    }
  }

  void ScheduleMaintenance() {
    m_maintenance_timer.expires_after(kMaintenanceInterval);
    m_maintenance_timer.async_wait([this](const error_code& error) {
      if (!error && !m_context.stopped) {
        RunMaintenance();
        ScheduleMaintenance();
      }
    });
  }

  void RunMaintenance() {
    const MonotonicTime now = std::chrono::steady_clock::now();
    const auto table = m_context.services.Refresh(now);
    DataMetrics& metrics = m_context.metrics;
    for (const auto& [name, state] : m_context.services) {
      state->UpdateMetrics(metrics);
      ProbeTargets(now, *table, state);
    }
    metrics.target_connections_in_use().Set(m_context.pools.in_use());
    metrics.target_connections_idle().Set(m_context.pools.idle());
    if (table != m_pruned_table) {
      m_pruned_table = table;
      PrunePools(*table);
    }
    if (m_context.draining) {
      PublishDrainProgress();
    }
  }

  // Sends the health probes that are due. Targets of keyed services are not
  // probed.
  void ProbeTargets(MonotonicTime now,
                    const RoutingTable& table,
                    const std::shared_ptr<ServiceState>& state) {
    const ServiceRoutes* routes = table.FindService(state->config().name);
    if (routes == nullptr || routes->config.keyed) {
      return;
    }
    for (const std::size_t index : state->chooser().TakeDueProbes(now)) {
      const RouteTarget& target = routes->targets[index];
      m_context.control_sender.SendHealthProbe(
          target.address, [state, id = target.id] {
            state->chooser().OnProbeAnswered(std::chrono::steady_clock::now(),
                                             id);
          });
    }
  }

  // Removes the pools of targets that are no longer in the table.
  void PrunePools(const RoutingTable& table) {
    std::set<std::string_view> known_addresses;
    for (const auto& [name, routes] : table.services) {
      for (const RouteTarget& target : routes.targets) {
        known_addresses.insert(target.address);
      }
    }
    m_context.pools.Retain([&known_addresses](const std::string& address) {
      return known_addresses.contains(address);
    });
  }

  // Cancels all operations, so that the event loop runs out of work and
  // returns.
  void Stop() {
    m_context.stopped = true;
    CloseListener();
    m_maintenance_timer.cancel();
    m_context.table_watcher.Close();
    m_context.control_sender.Close();
    m_context.pools.CloseIdle();
    for (CallerSession* session : m_context.sessions) {
      session->Stop();
    }
  }

  boost::asio::io_context m_io_context{1};
  DataContext m_context;
  Acceptor m_acceptor;
  Timer m_accept_timer;
  Timer m_maintenance_timer;
  std::string m_address;
  std::shared_ptr<const RoutingTable> m_pruned_table;
  std::thread m_thread;

  std::mutex m_mutex;
  std::condition_variable m_drained_condition;
  bool m_drained = false;
  int m_requests_in_progress = 0;
};

Result<std::unique_ptr<DataService>> DataService::Start(
    const Settings& settings,
    Inputs inputs) {
  auto impl = std::make_unique<Impl>(settings, std::move(inputs));
  BOOST_OUTCOME_TRY(impl->Listen(settings.caller_address));
  impl->StartThread();
  return std::unique_ptr<DataService>(new DataService(std::move(impl)));
}

DataService::DataService(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

DataService::~DataService() = default;

std::string DataService::caller_address() const {
  return m_impl->address();
}

int DataService::Drain(MonotonicTime deadline) {
  return m_impl->Drain(deadline);
}

}  // namespace snipehall
