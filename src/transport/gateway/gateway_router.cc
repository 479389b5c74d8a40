#include "transport/gateway/gateway_router.h"

#include <algorithm>

namespace snipehall {

namespace {

// A connection within a region takes a few milliseconds; a target that does not
// accept one for this long is taken for unreachable.
constexpr Milliseconds kConnectLimit{300};
// A target's connections are shared by all instances, whose number an instance
// does not know; each keeps at most its part of those, but a few in any case.
constexpr int kMostInstances = 16;
constexpr int kLeastConnections = 4;
// Connections that one request tries to make in vain.
constexpr int kConnectAttempts = 3;
// Part of the objective that a request waits for an owner of its key; held for
// longer it is worth less than one that comes back.
constexpr int kOwnerWaitDivisor = 2;
// A request without an owner looks again after this long without a change.
constexpr Milliseconds kOwnerRetry{100};
// When a refused caller may come back: the time in which a slot becomes free,
// and in which keys find a new owner.
constexpr Milliseconds kBusyRetryAfter{150};
constexpr Milliseconds kOwnerRetryAfter{300};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

Task<GatewayOutcome> GatewayRouter::Serve() {
  const MonotonicTime now = Now();
  const ServiceName& name = m_context.split.Next(*m_request.route);
  m_service = m_context.services.Find(now, name);
  const ServicePolicy* policy = m_request.policy->FindService(name);
  m_keyed = policy != nullptr && policy->keyed;
  Next next = Next::kAgain;
  if (m_service == nullptr) {
    next = Refuse("no such service", kOwnerRetryAfter);
  } else if (m_keyed && !m_request.info.key) {
    next = Fail(400, "no key");
  } else {
    m_service->retries.OnRequest(now);
    if (m_keyed) {
      m_context.key_loads.OnRequest(name, *m_request.info.key);
    }
  }
  while (next == Next::kAgain) {
    if (m_request.interrupted()) {
      next = AfterInterrupt();
    } else if (Choose(Now())) {
      next = co_await Attempt();
    } else {
      const std::string_view cause = m_keyed ? "no owner" : "no target";
      next = co_await WaitForChange(cause, m_context.state.version());
    }
  }
  co_return std::move(m_outcome);
}

bool GatewayRouter::Choose(MonotonicTime now) {
  m_chosen_by = m_context.state.version();
  if (m_keyed) {
    return ChooseOwner(now);
  }
  auto index = m_service->chooser.Choose(now, m_tried);
  if (!index) {
    index = m_service->chooser.Choose(now);
  }
  if (!index || *index >= m_service->targets.size()) {
    return false;
  }
  m_target = m_service->targets[*index];
  return true;
}

bool GatewayRouter::ChooseOwner(MonotonicTime /*now*/) {
  const ServiceName& service = m_service->name;
  const KeyAssignment* range =
      m_context.state.keys().Find(service, *m_request.info.key);
  if (range == nullptr || range->moving()) {
    return false;
  }
  const auto found = m_context.state.targets().find(range->owner);
  if (found == m_context.state.targets().end() || found->second.leaving) {
    return false;
  }
  const ListedTarget& owner = found->second;
  m_target = {owner.id, owner.zone, owner.address, owner.leaving};
  return true;
}

Task<GatewayRouter::Next> GatewayRouter::Attempt() {
  const std::shared_ptr<TargetPool> pool =
      m_context.pools.Find(m_target.address);
  if (!pool) {
    co_return Refuse("unreadable target address", kOwnerRetryAfter);
  }
  pool->set_limit(ConnectionLimit());
  TargetChooser& chooser = m_service->chooser;
  std::shared_ptr<ByteStream> stream = pool->TakeIdle();
  const bool warm = stream != nullptr;
  if (!warm) {
    stream = pool->NewStream(m_context.executor);
  }
  TargetPool::Lease lease(pool, stream);
  chooser.OnSent(Now(), m_target.id);
  bool connected = warm;
  if (!warm) {
    connected = co_await Connect(*pool, *stream);
  }
  if (!connected) {
    if (m_request.interrupted()) {
      chooser.OnAbandoned(m_target.id);
      co_return AfterInterrupt();
    }
    chooser.OnUnreachable(Now(), m_target.id);
    m_tried.push_back(m_target.id);
    if (++m_unreachable >= kConnectAttempts) {
      co_return Refuse("targets unreachable", kOwnerRetryAfter);
    }
    Next next = Next::kAgain;
    if (m_keyed) {
      next = co_await WaitForChange("owner unreachable",
                                    m_context.state.version());
    }
    co_return next;
  }
  ++m_attempts;
  const MonotonicTime sent = Now();
  TargetExchange exchange(m_request, *stream, m_context.names);
  const TargetExchangeEnd end =
      co_await exchange.Run(m_target.id, m_request.deadline);
  m_target_load = exchange.info().load;
  stream.reset();
  if (exchange.reusable()) {
    lease.Reuse();
  }
  Next next = Next::kAgain;
  switch (end) {
    case TargetExchangeEnd::kAnswered:
      chooser.OnAnswered(Now(), m_target.id, exchange.info().load);
      NoteTime(exchange, sent);
      co_return Finish(exchange);
    case TargetExchangeEnd::kRefused:
      chooser.OnFailed(Now(), m_target.id);
      next = co_await AfterRefusal(exchange);
      co_return next;
    case TargetExchangeEnd::kNotSent:
      // A kept connection that its target has closed meanwhile.
      chooser.OnAbandoned(m_target.id);
      --m_attempts;
      co_return Next::kAgain;
    case TargetExchangeEnd::kLost:
      chooser.OnFailed(Now(), m_target.id);
      m_may_have_run = true;
      co_return AfterLost();
    case TargetExchangeEnd::kInterrupted:
      chooser.OnAbandoned(m_target.id);
      m_may_have_run = m_may_have_run || exchange.sent();
      break;
  }
  co_return AfterInterrupt();
}

void GatewayRouter::NoteTime(const TargetExchange& exchange,
                             MonotonicTime sent) {
  const auto& load = exchange.info().load;
  // With free slots left, the time is that of the work alone.
  if (m_keyed && load && load->outstanding < load->slots) {
    m_context.key_loads.OnAnswer(
        m_service->name, m_target.id,
        std::chrono::duration_cast<Milliseconds>(Now() - sent));
  }
}

Task<bool> GatewayRouter::Connect(TargetPool& pool, ByteStream& stream) {
  m_request.target = &stream;
  m_request.LimitStep(Now() + kConnectLimit);
  const auto [error] =
      co_await stream.socket().async_connect(pool.endpoint(), kTask);
  m_request.target = nullptr;
  const bool expired = m_request.step_expired();
  m_request.EndStep();
  if (m_keyed && (error || expired) && !m_request.interrupted()) {
    m_context.on_target_unreachable(m_target.id);
  }
  if (error || expired) {
    m_context.metrics.Count("connect_failed");
  }
  co_return !error && !expired && !m_request.interrupted();
}

int GatewayRouter::ConnectionLimit() const {
  const ServicePolicy* policy = m_request.policy->FindService(m_service->name);
  const int limit = policy == nullptr ? 0 : policy->connection_limit;
  return std::max(kLeastConnections, limit / kMostInstances);
}

bool GatewayRouter::MayRepeat(MonotonicTime now) {
  return m_attempts < m_request.route->max_attempts &&
         m_service->retries.TryTake(now);
}

Task<GatewayRouter::Next> GatewayRouter::AfterRefusal(
    const TargetExchange& exchange) {
  m_tried.push_back(m_target.id);
  m_context.metrics.Count("target_refused");
  const bool not_owner = exchange.status() == 421;
  // Another attempt at an owner that is full would only add to its load.
  const bool full = !m_target_load || m_target_load->IsFull();
  if ((m_keyed && !not_owner && full) || !MayRepeat(Now())) {
    co_return Refuse(not_owner ? "target is not the owner" : "target is full",
                     kBusyRetryAfter);
  }
  Next next = Next::kAgain;
  if (m_keyed && not_owner) {
    // The keys have moved; this instance will know soon where to.
    next = co_await WaitForChange("target is not the owner", m_chosen_by);
  }
  co_return next;
}

GatewayRouter::Next GatewayRouter::AfterLost() {
  m_tried.push_back(m_target.id);
  m_context.metrics.Count("answer_lost");
  if (!m_request.route->repeatable || !MayRepeat(Now())) {
    return Fail(502, "answer lost");
  }
  return Next::kAgain;
}

GatewayRouter::Next GatewayRouter::Finish(TargetExchange& exchange) {
  const bool has_body =
      m_request.parser->get().method() != boost::beast::http::verb::head &&
      exchange.status() != 204 && exchange.status() != 304;
  m_outcome.status = static_cast<int>(exchange.status());
  m_outcome.verdict = Verdict::kRan;
  m_outcome.cause = "answered";
  AppendCallerAnswer(exchange.answer(), exchange.body().size(), has_body,
                     m_request.keep_alive && !m_context.draining,
                     m_outcome.head);
  m_outcome.body = exchange.body();
  return Next::kFinish;
}

Task<GatewayRouter::Next> GatewayRouter::WaitForChange(std::string_view cause,
                                                       std::uint64_t seen) {
  const MonotonicTime now = Now();
  if (!m_wait_until) {
    m_wait_until = now + m_request.route->objective / kOwnerWaitDivisor;
  }
  if (now >= *m_wait_until) {
    co_return Refuse(cause, kOwnerRetryAfter);
  }
  const RoutingState::Watch watch(m_context.state, m_request.event);
  m_request.LimitStep(std::min(*m_wait_until, now + kOwnerRetry));
  while (!m_request.broken_off() && m_context.state.version() == seen) {
    co_await m_request.event.Wait();
  }
  m_request.EndStep();
  co_return Next::kAgain;
}

GatewayRouter::Next GatewayRouter::Refuse(std::string_view cause,
                                          Milliseconds retry_after) {
  if (m_may_have_run) {
    return Fail(502, cause);
  }
  m_outcome.status = 503;
  m_outcome.verdict = Verdict::kNotRun;
  m_outcome.cause = cause;
  m_outcome.retry_after = retry_after;
  return Next::kFinish;
}

GatewayRouter::Next GatewayRouter::Fail(int status, std::string_view cause) {
  m_outcome.status = status;
  m_outcome.verdict = m_may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
  m_outcome.cause = cause;
  return Next::kFinish;
}

GatewayRouter::Next GatewayRouter::AfterInterrupt() {
  if (m_request.caller_gone()) {
    return Fail(0, "caller gone");
  }
  if (!m_may_have_run) {
    return Refuse("deadline passed before a target took the request",
                  kBusyRetryAfter);
  }
  return Fail(504, "deadline passed at the target");
}

}  // namespace snipehall
