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
constexpr Milliseconds kInstanceListInterval{500};
constexpr Milliseconds kInstanceListTimeout{2000};
// The controller makes a new plan when a record does not appear in the log
// within this time; appending the old record later would be redundant.
constexpr Milliseconds kAppendTimeout{500};
// Interval of status publications while only numbers in the status change.
constexpr Milliseconds kStatusInterval{500};
// Time after the last control message for which a target's status is shown.
constexpr Milliseconds kTargetContactValidity{3000};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

LogReadScheduler::Limits MakeReadLimits(const ControllerTiming& timing) {
  LogReadScheduler::Limits limits;
  limits.confirmation_interval = timing.confirmation_validity / 3;
  limits.timeout_margin = timing.confirmation_validity;
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
          MakeReadLimits(timing),
          {.next_offset = [this] { return m_controller.next_read_offset(); },
           .on_read =
               [this](const TimestampedLogRead& read) { OnLogRead(read); },
           .on_failure = [this](const Error& error) { OnLogFailure(error); }}),
      m_appender(context->get_executor(),
                 &m_log,
                 {},
                 [this](std::string_view id, const Error& error) {
                   LOG(WARNING)
                       << "log rejected record " << id << ": " << error.message;
                   SubmissionTable::Report(m_submissions.Reject(id, error));
                 }),
      m_dispatcher(context->get_executor(),
                   [this](const std::string& address) {
                     return std::make_shared<HttpTargetClient>(
                         m_context->get_executor(), address, &m_bytes);
                   },
                   {.call_timeout = timing.silence_timeout},
                   {.on_answer =
                        [this](const TargetId& target,
                               const LeaseOrder* order,
                               const TimestampedLeaseResponse& answer) {
                          OnTargetAnswer(target, order, answer);
                        },
                    .on_failure =
                        [this](const TargetId& target, const Error& /*error*/) {
                          OnTargetFailure(target);
                        }}),
      m_instance_list_timer(*context),
      m_tick_timer(*context) {}

PeerLinkService::Handlers ControlLoop::MakePeerHandlers() {
  return {.make_heartbeat_reply =
              [this](const Heartbeat& heartbeat) {
                return m_controller.OnHeartbeat(Now(), heartbeat);
              },
          .read_records =
              [this](LogOffset from) { return m_controller.RecordsFrom(from); },
          .on_heartbeat_response =
              [this](MonotonicTime sent_at, const Heartbeat& answer) {
                m_controller.OnHeartbeatAnswer(sent_at, Now(), answer);
                Publish(Now());
              },
          .on_records =
              [this](std::span<const LogEntry> entries) {
                OnPeerRecords(entries);
              }};
}

void ControlLoop::Start(PeerLinkService* links) {
  m_peer_links = links;
  Publish(Now());
  Spawn(m_context->get_executor(), m_reader.Run());
  Spawn(m_context->get_executor(), PollInstances());
  Spawn(m_context->get_executor(), TickPeriodically());
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
  LOG(INFO) << "leaving: handing leases and group coordination over to the "
               "other members";
  m_controller.Leave(Now());
  RunController(Now());
}

void ControlLoop::Stop() {
  Leave();
  m_stopped = true;
  m_reader.Stop();
  m_appender.Stop();
  m_log.Close();
  m_instance_list.Close();
  m_dispatcher.Close();
  m_instance_list_timer.cancel();
  m_tick_timer.cancel();
}

void ControlLoop::OnLogRead(const TimestampedLogRead& read) {
  const MonotonicTime now = Now();
  m_metrics.reads_succeeded.Increment();
  if (!std::exchange(m_log_reachable, true)) {
    LOG(INFO) << "log is reachable; end offset " << read.read.end_offset;
    m_status_stale = true;
  }
  const std::vector<SubmissionTable::Completion> completions =
      m_submissions.CompleteApplied(m_controller.state(), read.read.entries);
  m_controller.OnLogRead(read.sent_at, now, read.read);
  ConfirmAppends(read.read.entries);
  if (read.read.end_offset == m_controller.state().offset() + 1) {
    m_appender.OnCaughtUp(read.sent_at);
  }
  if (read.read.entries.empty()) {
    Publish(now);
  } else {
    RunController(now);
  }
  SubmissionTable::Report(completions);
}

void ControlLoop::OnLogFailure(const Error& error) {
  m_metrics.reads_failed.Increment();
  if (std::exchange(m_log_reachable, false)) {
    LOG(WARNING) << "cannot read the log: " << error.message;
    m_status_stale = true;
  }
}

void ControlLoop::OnPeerRecords(std::span<const LogEntry> entries) {
  const std::vector<SubmissionTable::Completion> completions =
      m_submissions.CompleteApplied(m_controller.state(), entries);
  m_controller.OnPeerRecords(Now(), entries);
  ConfirmAppends(entries);
  RunController(Now());
  SubmissionTable::Report(completions);
}

void ControlLoop::ConfirmAppends(std::span<const LogEntry> entries) {
  for (const LogEntry& entry : entries) {
    if (entry.record) {
      m_appender.OnRecordRead(entry.record->id);
    }
  }
}

void ControlLoop::OnTargetAnswer(const TargetId& target,
                                 const LeaseOrder* order,
                                 const TimestampedLeaseResponse& answer) {
  const MonotonicTime now = Now();
  if (order != nullptr) {
    const bool accepted = answer.answer.accepted;
    (accepted ? m_metrics.leases_extended : m_metrics.leases_refused)
        .Increment();
    if (accepted && order->ranges) {
      m_metrics.range_sets_granted.Increment();
    }
  }
  TargetContact& contact = m_target_contacts[target];
  LOG_IF(INFO, !contact.reachable) << "target " << target << " is reachable";
  contact = {now, now, true, answer.answer.outstanding};
  m_controller.OnLeaseAnswer(answer.sent_at, now, target, answer.answer);
}

void ControlLoop::OnTargetFailure(const TargetId& target) {
  const MonotonicTime now = Now();
  m_metrics.target_failures.Increment();
  TargetContact& contact = m_target_contacts[target];
  LOG_IF(INFO, contact.reachable) << "target " << target << " is unreachable";
  contact.last_contacted = now;
  contact.reachable = false;
  m_controller.OnTargetFailure(now, target);
}

boost::asio::awaitable<void> ControlLoop::PollInstances() {
  while (!m_stopped) {
    Result<std::vector<PlatformInstance>> instances =
        co_await m_instance_list.Fetch(Now() + kInstanceListTimeout);
    if (m_stopped) {
      co_return;
    }
    const bool answered = instances.has_value();
    if (std::exchange(m_instance_list_reachable, answered) != answered) {
      LOG(INFO) << "instance list "
                << (answered ? std::string("is reachable")
                             : "cannot be read: " + instances.error().message);
    }
    if (answered) {
      m_controller.OnInstances(Now(), instances.value());
      m_status_stale = m_status_stale || m_instances != instances.value();
      m_instances = std::move(instances).value();
    }
    m_instance_list_timer.expires_at(Now() + kInstanceListInterval);
    co_await m_instance_list_timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

boost::asio::awaitable<void> ControlLoop::TickPeriodically() {
  while (!m_stopped) {
    const MonotonicTime now = Now();
    m_appender.Tick(now);
    RunController(now);
    SubmissionTable::Report(m_submissions.Expire(
        now,
        [this](std::string_view id) { return m_appender.MayBeAppended(id); }));
    m_tick_timer.expires_at(now + kTickInterval);
    co_await m_tick_timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

void ControlLoop::RunController(MonotonicTime now) {
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
                                            now + kAppendTimeout);
                        },
                        [this](SendHeartbeat& heartbeat) {
                          m_metrics.heartbeats.Increment();
                          m_peer_links->Send(std::move(heartbeat));
                        },
                        [this](FetchRecords& fetch) {
                          m_metrics.record_fetches.Increment();
                          m_peer_links->Send(std::move(fetch));
                        }},
             action);
}

void ControlLoop::Publish(MonotonicTime now) {
  std::shared_ptr<const RoutingTable> table = m_controller.routing_table();
  if (table != m_outputs->routing_table.Load()) {
    m_outputs->routing_table.Store(std::move(table));
  }
  // Stored after the table, so that a reader that sees this confirmation finds
  // the state that it confirms or a newer one.
  const MonotonicTime confirmed_until = m_controller.confirmed_until();
  m_outputs->confirmed_until.store(confirmed_until.time_since_epoch().count(),
                                   std::memory_order_release);
  const bool confirmed = confirmed_until > now;
  if (std::exchange(m_confirmed, confirmed) != confirmed) {
    LOG(INFO) << "state at offset " << m_controller.state().offset()
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
  status->targets = MakeTargetStatuses(now);
  status->instances = m_instances;
  m_published_offset = status->state.offset();
  m_status_stale = false;
  m_status_deadline = now + kStatusInterval;
  m_outputs->status.Store(std::move(status));
  UpdateMetrics(now);
  m_dispatcher.CloseIdle(now);
}

std::vector<TargetStatus> ControlLoop::MakeTargetStatuses(
    MonotonicTime now) const {
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
    const auto found = m_target_contacts.find(instance.id);
    if (found != m_target_contacts.end() &&
        now - found->second.last_contacted < kTargetContactValidity) {
      status.contacted = true;
      status.reachable = found->second.reachable;
      status.requests_in_progress = found->second.requests_in_progress;
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
      static_cast<double>(m_bytes.sent - m_reported_bytes.sent));
  m_metrics.bytes_received.Increment(
      static_cast<double>(m_bytes.received - m_reported_bytes.received));
  m_reported_bytes = m_bytes;
  const auto dropped = static_cast<double>(m_peer_links->dropped());
  m_metrics.link_messages_dropped.Increment(
      dropped - m_metrics.link_messages_dropped.Value());
  std::erase_if(m_target_contacts, [now](const auto& entry) {
    return now - entry.second.last_contacted > 20 * kTargetContactValidity;
  });
}

}  // namespace snipehall
