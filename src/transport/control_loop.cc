#include "transport/control_loop.h"

#include <glog/logging.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>
#include <variant>

#include "protocol/record_codec.h"
#include "transport/spawn.h"

namespace snipehall {
namespace {

static_assert(LogClient<HttpLogClient>);
static_assert(InstanceListClient<HttpInstanceListClient>);
static_assert(TargetClient<HttpTargetClient>);

constexpr Milliseconds kTickInterval{10};
constexpr Milliseconds kListInterval{500};
constexpr Milliseconds kListCall{2000};
// The controller plans anew when a record does not appear within this time, so
// that a record sent later would be one too many.
constexpr Milliseconds kAppendDeadline{500};
// Time between two publications of a status in which only figures changed.
constexpr Milliseconds kStatusInterval{500};
// Time after which a target counts as not asked.
constexpr Milliseconds kAskedValidity{3000};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

ReadPace::Limits MakePaceLimits(const ControllerTiming& timing) {
  ReadPace::Limits limits;
  limits.confirmation_interval = timing.confirmation_validity / 3;
  limits.allowance = timing.confirmation_validity;
  return limits;
}

template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace

ControlLoop::ControlLoop(boost::asio::io_context* context,
                         const Settings& settings,
                         const ControllerTiming& timing,
                         Controller controller,
                         std::shared_ptr<prometheus::Registry> registry,
                         ControlOutputs* outputs)
    : m_context(context),
      m_instance(settings.instance),
      m_zone(settings.zone),
      m_timing(timing),
      m_controller(std::move(controller)),
      m_metrics(std::move(registry)),
      m_outputs(outputs),
      m_log(context->get_executor(), settings.log_address, &m_bytes),
      m_instance_list(context->get_executor(),
                      settings.instance_list_address,
                      &m_bytes),
      m_reader(
          context->get_executor(),
          &m_log,
          MakePaceLimits(timing),
          {.next = [this] { return m_controller.next_read(); },
           .on_read = [this](const TimedLogRead& read) { OnLogRead(read); },
           .on_failure = [this](const Error& error) { OnLogFailure(error); }}),
      m_appender(context->get_executor(),
                 &m_log,
                 {},
                 [this](std::string_view id, const Error& error) {
                   LOG(WARNING) << "the log refused record " << id << ": "
                                << error.message;
                   SubmissionTable::Report(m_submissions.Reject(id, error));
                 }),
      m_dispatcher(context->get_executor(),
                   [this](const std::string& address) {
                     return std::make_shared<HttpTargetClient>(
                         m_context->get_executor(), address, &m_bytes);
                   },
                   {.call = timing.silence},
                   {.on_answer =
                        [this](const TargetId& target,
                               const LeaseOrder* order,
                               const TimedLeaseAnswer& answer) {
                          OnTargetAnswer(target, order, answer);
                        },
                    .on_failure =
                        [this](const TargetId& target, const Error& /*error*/) {
                          OnTargetFailure(target);
                        }}),
      m_list_timer(*context),
      m_tick_timer(*context) {}

PeerLinkService::Handlers ControlLoop::MakePeerHandlers() {
  return {.answer_heartbeat =
              [this](const Heartbeat& heartbeat) {
                return m_controller.OnHeartbeat(Now(), heartbeat);
              },
          .records_from =
              [this](LogOffset from) { return m_controller.RecordsFrom(from); },
          .on_heartbeat_answer =
              [this](MonotonicTime sent, const Heartbeat& answer) {
                m_controller.OnHeartbeatAnswer(sent, Now(), answer);
                Publish(Now());
              },
          .on_records =
              [this](std::span<const LogEntry> entries) {
                OnPeerRecords(entries);
              }};
}

void ControlLoop::Start(PeerLinkService* links) {
  m_links = links;
  Publish(Now());
  Spawn(m_context->get_executor(), m_reader.Run());
  Spawn(m_context->get_executor(), PollInstances());
  Spawn(m_context->get_executor(), TickRegularly());
}

void ControlLoop::Submit(const Record& record,
                         MonotonicTime deadline,
                         const ControlService::SubmitCallback& callback) {
  if (m_stopped || !m_submissions.Add(record.id, deadline, callback)) {
    callback(Fail(ErrorCode::kBusy, "too many records are waiting"));
    return;
  }
  if (!m_appender.Append(record.id, EncodeRecord(record), deadline)) {
    SubmissionTable::Report(m_submissions.Reject(
        record.id, Error{ErrorCode::kBusy, "too many records are waiting"}));
    return;
  }
  m_metrics.appends.Increment();
}

void ControlLoop::Leave() {
  LOG(INFO) << "leaving duties to the other members";
  m_controller.Leave(Now());
  Step(Now());
}

void ControlLoop::Stop() {
  Leave();
  m_stopped = true;
  m_reader.Stop();
  m_appender.Stop();
  m_log.Close();
  m_instance_list.Close();
  m_dispatcher.Close();
  m_list_timer.cancel();
  m_tick_timer.cancel();
}

void ControlLoop::OnLogRead(const TimedLogRead& read) {
  const MonotonicTime now = Now();
  m_metrics.reads_answered.Increment();
  if (!std::exchange(m_log_reachable, true)) {
    LOG(INFO) << "the log answers; its end is " << read.read.end;
    m_status_stale = true;
  }
  const std::vector<SubmissionTable::Completion> completions =
      m_submissions.Observe(m_controller.state(), read.read.entries);
  m_controller.OnLogRead(read.began, now, read.read);
  NoteSeen(read.read.entries);
  if (read.read.end == m_controller.state().offset() + 1) {
    m_appender.OnCaughtUp(read.began);
  }
  if (read.read.entries.empty()) {
    Publish(now);
  } else {
    Step(now);
  }
  SubmissionTable::Report(completions);
}

void ControlLoop::OnLogFailure(const Error& error) {
  m_metrics.reads_failed.Increment();
  if (std::exchange(m_log_reachable, false)) {
    LOG(WARNING) << "the log cannot be read: " << error.message;
    m_status_stale = true;
  }
}

void ControlLoop::OnPeerRecords(std::span<const LogEntry> entries) {
  const std::vector<SubmissionTable::Completion> completions =
      m_submissions.Observe(m_controller.state(), entries);
  m_controller.OnPeerRecords(Now(), entries);
  NoteSeen(entries);
  Step(Now());
  SubmissionTable::Report(completions);
}

void ControlLoop::NoteSeen(std::span<const LogEntry> entries) {
  for (const LogEntry& entry : entries) {
    if (entry.record) {
      m_appender.OnSeen(entry.record->id);
    }
  }
}

void ControlLoop::OnTargetAnswer(const TargetId& target,
                                 const LeaseOrder* order,
                                 const TimedLeaseAnswer& answer) {
  const MonotonicTime now = Now();
  if (order != nullptr) {
    const bool accepted = answer.answer.accepted;
    (accepted ? m_metrics.leases_extended : m_metrics.leases_refused)
        .Increment();
    if (accepted && order->ranges) {
      m_metrics.range_sets_granted.Increment();
    }
  }
  AskedTarget& asked = m_asked[target];
  LOG_IF(INFO, !asked.reachable) << "target " << target << " answers";
  asked = {now, now, true, answer.answer.outstanding};
  m_controller.OnLeaseAnswer(answer.sent, now, target, answer.answer);
}

void ControlLoop::OnTargetFailure(const TargetId& target) {
  const MonotonicTime now = Now();
  m_metrics.target_failures.Increment();
  AskedTarget& asked = m_asked[target];
  LOG_IF(INFO, asked.reachable) << "target " << target << " does not answer";
  asked.asked = now;
  asked.reachable = false;
  m_controller.OnTargetFailure(now, target);
}

boost::asio::awaitable<void> ControlLoop::PollInstances() {
  while (!m_stopped) {
    Result<std::vector<PlatformInstance>> instances =
        co_await m_instance_list.Fetch(Now() + kListCall);
    if (m_stopped) {
      co_return;
    }
    const bool answered = instances.has_value();
    if (std::exchange(m_list_reachable, answered) != answered) {
      LOG(INFO) << "the instance list "
                << (answered ? std::string("answers")
                             : "cannot be read: " + instances.error().message);
    }
    if (answered) {
      m_controller.OnInstances(Now(), instances.value());
      m_status_stale = m_status_stale || m_instances != instances.value();
      m_instances = std::move(instances).value();
    }
    m_list_timer.expires_at(Now() + kListInterval);
    co_await m_list_timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

boost::asio::awaitable<void> ControlLoop::TickRegularly() {
  while (!m_stopped) {
    const MonotonicTime now = Now();
    m_appender.Tick(now);
    Step(now);
    SubmissionTable::Report(m_submissions.Expire(
        now,
        [this](std::string_view id) { return m_appender.MayBeAppended(id); }));
    m_tick_timer.expires_at(now + kTickInterval);
    co_await m_tick_timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

void ControlLoop::Step(MonotonicTime now) {
  if (m_stopped) {
    return;
  }
  for (Action& action : m_controller.Tick(now)) {
    Execute(now, action);
  }
  Publish(now);
}

void ControlLoop::Execute(MonotonicTime now, Action& action) {
  std::visit(Overloaded{[this](SendLeaseOrder& order) {
                          m_metrics.lease_orders.Increment();
                          m_dispatcher.Send(std::move(order));
                        },
                        [this](SendStatusQuery& query) {
                          m_metrics.status_queries.Increment();
                          m_dispatcher.Send(std::move(query));
                        },
                        [this, now](const AppendRecord& append) {
                          m_metrics.appends.Increment();
                          m_appender.Append(append.record.id,
                                            EncodeRecord(append.record),
                                            now + kAppendDeadline);
                        },
                        [this](SendHeartbeat& heartbeat) {
                          m_metrics.heartbeats.Increment();
                          m_links->Send(std::move(heartbeat));
                        },
                        [this](FetchRecords& fetch) {
                          m_metrics.record_fetches.Increment();
                          m_links->Send(std::move(fetch));
                        }},
             action);
}

void ControlLoop::Publish(MonotonicTime now) {
  std::shared_ptr<const RoutingTable> table = m_controller.routing_table();
  if (table != m_outputs->routing_table.Load()) {
    m_outputs->routing_table.Store(std::move(table));
  }
  // After the table: a reader that sees this confirmation then finds the state
  // that it confirms, or a newer one.
  const MonotonicTime confirmed_until = m_controller.confirmed_until();
  m_outputs->confirmed_until.store(confirmed_until.time_since_epoch().count(),
                                   std::memory_order_release);
  const bool confirmed = confirmed_until > now;
  if (std::exchange(m_confirmed, confirmed) != confirmed) {
    LOG(INFO) << "the state at offset " << m_controller.state().offset()
              << (confirmed ? " is confirmed" : " is no longer confirmed");
    m_status_stale = true;
  }
  const bool changed =
      m_status_stale || m_published_offset != m_controller.state().offset();
  if (changed || now >= m_status_deadline) {
    PublishStatus(now, confirmed);
  }
}

void ControlLoop::PublishStatus(MonotonicTime now, bool confirmed) {
  auto status = std::make_shared<ControlStatus>();
  status->instance = m_instance;
  status->zone = m_zone;
  status->state = m_controller.state();
  status->log_reachable = m_log_reachable;
  status->confirmed = confirmed;
  status->targets = ListTargets(now);
  status->instances = m_instances;
  m_published_offset = status->state.offset();
  m_status_stale = false;
  m_status_deadline = now + kStatusInterval;
  m_outputs->status.Store(std::move(status));
  UpdateMetrics(now);
  m_dispatcher.CloseIdle(now);
}

std::vector<TargetStatus> ControlLoop::ListTargets(MonotonicTime now) const {
  std::vector<TargetStatus> targets;
  for (const PlatformInstance& instance : m_instances) {
    if (instance.role != PlatformRole::kTarget) {
      continue;
    }
    TargetStatus status;
    status.id = instance.id;
    status.service = instance.service;
    status.zone = instance.zone;
    status.leaving = instance.leaving;
    const auto found = m_asked.find(instance.id);
    if (found != m_asked.end() && now - found->second.asked < kAskedValidity) {
      status.asked = true;
      status.reachable = found->second.reachable;
      status.outstanding = found->second.outstanding;
    }
    targets.push_back(std::move(status));
  }
  return targets;
}

void ControlLoop::UpdateMetrics(MonotonicTime now) {
  using Seconds = std::chrono::duration<double>;
  const MonotonicTime confirmed_until = m_controller.confirmed_until();
  if (confirmed_until != MonotonicTime()) {
    const auto age = now - (confirmed_until - m_timing.confirmation_validity);
    m_metrics.confirmation_age.Set(Seconds(age).count());
  }
  m_metrics.log_reachable.Set(m_log_reachable ? 1 : 0);
  m_metrics.log_offset.Set(static_cast<double>(m_controller.state().offset()));
  m_metrics.bytes_sent.Increment(
      static_cast<double>(m_bytes.sent - m_counted_bytes.sent));
  m_metrics.bytes_received.Increment(
      static_cast<double>(m_bytes.received - m_counted_bytes.received));
  m_counted_bytes = m_bytes;
  const auto dropped = static_cast<double>(m_links->dropped());
  m_metrics.link_messages_dropped.Increment(
      dropped - m_metrics.link_messages_dropped.Value());
  std::erase_if(m_asked, [now](const auto& entry) {
    return now - entry.second.asked > 20 * kAskedValidity;
  });
}

}  // namespace snipehall
