#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/outcome/try.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "protocol/request_digest.h"
#include "transport/gateway/gateway_control.h"
#include "transport/gateway/gateway_server.h"
#include "transport/gateway/leader_link.h"
#include "transport/gateway/target_prober.h"

namespace snipehall {

// A complete gateway process on one event loop: it routes callers' requests,
// follows the platform's log, acts as the leader when it is elected, reloads
// its settings at SIGHUP and shuts down gracefully at SIGTERM or SIGINT.
//
// Requests and control run on the same thread: with a CPU quota of a fifth of a
// core a second thread would only add context switches, and the leader's
// decisions need the load that callers cause.
template <GatewayPlatform Platform>
class Gateway {
 public:
  Gateway(boost::asio::io_context& io,
          const GatewaySettings& settings,
          const GatewayHeaderNames& names,
          Platform& platform,
          EventLog& log,
          std::function<Result<GatewaySettings>()> load_settings)
      : m_settings(settings),
        m_log(log),
        m_link(io.get_executor(),
               [this](const LeaderLink::Endpoint& sender,
                      const LeaderMessage& message) {
                 m_control.OnMessage(sender, message);
               }),
        m_context(io.get_executor(),
                  m_settings,
                  names,
                  m_state,
                  m_metrics,
                  m_seed),
        m_control(io.get_executor(),
                  m_settings,
                  platform,
                  m_state,
                  m_metrics,
                  m_log,
                  m_link,
                  m_context.poison_requests,
                  m_context.services,
                  m_seed),
        m_prober(io.get_executor(),
                 m_context.services,
                 m_settings.zone,
                 m_seed,
                 [this] { UpdateReachability(); }),
        m_report_timer(io),
        m_signals(io, SIGTERM, SIGINT, SIGHUP),
        m_load_settings(std::move(load_settings)),
        m_stop_timer(io) {}

  // Binds all listeners and starts the coroutines on the event loop; call once,
  // before io_context::run(). Fails when an address is malformed or cannot be
  // bound. The event loop stops when the shutdown is complete.
  Result<void> Start() {
    BOOST_OUTCOME_TRY(m_server, GatewayServer::Create(
                                    m_context, m_settings,
                                    [this] {
                                      return !m_context.draining &&
                                             m_control.IsReady() &&
                                             !IsServedByOthers();
                                    },
                                    [this] { m_control.UpdateMetrics(); }));
    BOOST_OUTCOME_TRY(m_link.Start(m_settings.peer_address));
    m_context.on_target_unreachable = [this](std::string_view target) {
      m_control.OnTargetUnreachable(target);
    };
    m_context.on_connect_failed = [this] { UpdateReachability(); };
    m_control.set_on_order_failed([this] { UpdateReachability(); });
    m_context.on_failed_request = [this](const FailedRequest& request) {
      LogFailedRequest(request);
    };
    m_context.on_rate_limit = [this](std::string_view target,
                                     std::optional<double> limit) {
      m_log.Write("target_rate_limit",
                  {{"target", target},
                   {"limit", limit ? std::to_string(*limit) : "none"}});
    };
    m_context.request_permit = [this](std::string_view target, double limit,
                                      PermitRequests::OnResponse on_response) {
      m_control.RequestPermit(target, limit, std::move(on_response));
    };
    m_context.on_target_lost = [this](const PoisonRequestDetector::Loss& loss,
                                      bool blocks) {
      m_control.ReportTargetLost(loss, blocks);
    };
    m_context.on_harmless_request = [this](RequestDigest digest) {
      m_control.ReportHarmless(digest);
    };
    m_context.on_target_leaving = [this](std::string_view target,
                                         std::int64_t start_time_ms) {
      m_control.OnTargetLeaving(target, start_time_ms);
    };
    m_context.on_exception = [this](std::string_view request_id,
                                    std::string_view error) {
      m_log.Write("exception", {{"id", request_id}, {"error", error}});
    };
    m_control.set_on_forwarded(
        m_context.names.attempts_left,
        [this](std::shared_ptr<ByteStream> stream) {
          m_server->StartInstanceSession(std::move(stream));
        });
    WaitForSignal();
    m_log.Write("start", {{"zone", m_settings.zone}});
    m_server->Start();
    BOOST_OUTCOME_TRY(m_control.Start());
    ScheduleReports();
    return boost::outcome_v2::success();
  }

 private:
  // Interval at which a shutdown checks for requests in progress.
  static constexpr Milliseconds kStopPollInterval{50};
  // Interval between load reports to the leader.
  static constexpr Milliseconds kLoadReportInterval{400};
  // Delay of the event loop from which on it is logged. The load balancer's
  // checks and the callers' shortest deadlines are of that order.
  static constexpr Milliseconds kLoggedEventLoopDelay{250};

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  void WaitForSignal() {
    m_signals.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (error) {
            return;
          }
          if (signal == SIGHUP) {
            Reload();
          } else if (!m_context.draining) {
            BeginStop();
          }
          WaitForSignal();
        });
  }

  // Applies the settings that may change at run time. Addresses are not among
  // them, because the listeners are already bound.
  void Reload() {
    const Result<GatewaySettings> settings = m_load_settings();
    if (!settings) {
      m_log.Write("reload_refused", {{"error", settings.error().message}});
      return;
    }
    m_settings.retry_limits = settings.value().retry_limits;
    m_settings.shutdown_timeout = settings.value().shutdown_timeout;
    m_context.services.SetRetryLimits(m_settings.retry_limits);
    m_log.Write("reload", {});
  }

  void LogFailedRequest(const FailedRequest& request) {
    m_log.Write(
        "request_failed",
        {{"id", request.request_id},
         {"route", request.route},
         {"target", request.target},
         {"cause", request.cause},
         {"status", std::to_string(request.status)},
         {"attempts", std::to_string(request.attempts)},
         {"elapsed_ms", std::to_string(request.elapsed_ms)},
         {"sent_ms", request.sent_after
                         ? std::to_string(request.sent_after->count())
                         : std::string()},
         {"target_load",
          request.target_load
              ? std::to_string(request.target_load->outstanding) + "/" +
                    std::to_string(request.target_load->slots)
              : std::string()},
         {"key", request.key ? std::to_string(*request.key) : std::string()},
         {"digest", ToString(request.digest)},
         {"configuration", std::to_string(request.policy_version)}});
  }

  void ScheduleReports() {
    m_report_timer.expires_after(kLoadReportInterval);
    m_report_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        RecordEventLoopDelay();
        UpdateReachability();
        m_control.ReportLoad(m_context.key_loads.TakeReports());
        ApplyInstanceCount();
        m_context.rate_limits.Retain([this](const TargetId& id) {
          return m_state.targets().contains(id);
        });
        for (TargetPauses* pauses :
             {&m_context.pauses, &m_context.cold_pauses}) {
          pauses->Retain(Now(), [this](const TargetId& id) {
            return m_state.targets().contains(id);
          });
        }
        ScheduleReports();
      }
    });
  }

  // Divides what all instances share by their number, once it is known.
  void ApplyInstanceCount() {
    if (const std::optional<int> count = m_control.InstanceCount()) {
      m_metrics.SetGauge("instances", *count);
      m_context.services.SetInstanceCount(*count);
      m_context.rate_limits.set_instance_count(*count);
    }
  }

  // Starts the probes of targets that are due, and acts on a change of the
  // services of which this instance reaches no target.
  void UpdateReachability() {
    m_prober.Update();
    std::set<ServiceName, std::less<>> cut_off_services =
        m_context.services.CutOffServices();
    if (cut_off_services == m_cut_off_services) {
      return;
    }
    for (const ServiceName& service : cut_off_services) {
      if (!m_cut_off_services.contains(service)) {
        m_log.Write("targets_unreachable", {{"service", service}});
      }
    }
    for (const ServiceName& service : m_cut_off_services) {
      if (!cut_off_services.contains(service)) {
        m_log.Write("targets_reachable", {{"service", service}});
      }
    }
    m_cut_off_services = std::move(cut_off_services);
    m_metrics.SetGauge("cut_off_services",
                       static_cast<double>(m_cut_off_services.size()));
    m_control.OnReachabilityChanged();
  }

  // Whether this instance reaches no target of any service while others do, so
  // that callers had better connect to them.
  bool IsServedByOthers() const {
    if (m_cut_off_services.empty() || !m_state.policy()) {
      return false;
    }
    const auto& services = m_state.policy()->services();
    return std::all_of(
        services.begin(), services.end(), [this](const auto& item) {
          const auto* forwarders = m_state.FindForwarders(item.first);
          return m_cut_off_services.contains(item.first) &&
                 forwarders != nullptr && !forwarders->empty();
        });
  }

  void RecordEventLoopDelay() {
    const auto delay = Now() - m_report_timer.expiry();
    m_metrics.RecordEventLoopDelay(
        std::chrono::duration<double>(delay).count());
    if (delay >= kLoggedEventLoopDelay) {
      const auto delay_ms = std::chrono::duration_cast<Milliseconds>(delay);
      m_log.Write("event_loop_delayed",
                  {{"delay_ms", std::to_string(delay_ms.count())},
                   {"busy", std::to_string(m_server->active_requests())}});
    }
  }

  void BeginStop() {
    m_log.Write("stop",
                {{"busy", std::to_string(m_server->active_requests())}});
    m_server->BeginDrain();
    m_control.BeginDrain();
    m_context.shutdown =
        ShutdownSchedule::Create(Now(), m_settings.shutdown_timeout);
    ContinueStop();
  }

  void ContinueStop() {
    const ShutdownSchedule& schedule = m_context.shutdown;
    if (Now() >= schedule.accept_until) {
      m_server->CloseCallerListener();
      m_server->CloseIdle();
      if (Now() >= schedule.responses_due_at) {
        m_server->ExpireRequests();
      }
      if (!m_server->has_open_sessions() || Now() >= schedule.ends_at) {
        m_log.Write("stopped",
                    {{"busy", std::to_string(m_server->active_requests())}});
        m_server->Stop();
        m_prober.Close();
        m_control.Stop();
        m_link.Close();
        m_report_timer.cancel();
        m_context.executor.context().stop();
        return;
      }
    }
    m_stop_timer.expires_after(kStopPollInterval);
    m_stop_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        ContinueStop();
      }
    });
  }

  GatewaySettings m_settings;
  RoutingState m_state;
  GatewayMetrics m_metrics;
  EventLog& m_log;
  std::uint64_t m_seed = std::random_device{}();
  LeaderLink m_link;
  GatewayContext m_context;
  GatewayControl<Platform> m_control;
  TargetProber m_prober;
  // The services of which this instance reaches no target.
  std::set<ServiceName, std::less<>> m_cut_off_services;
  std::unique_ptr<GatewayServer> m_server;
  boost::asio::steady_timer m_report_timer;
  boost::asio::signal_set m_signals;
  std::function<Result<GatewaySettings>()> m_load_settings;
  boost::asio::steady_timer m_stop_timer;
};

}  // namespace snipehall
