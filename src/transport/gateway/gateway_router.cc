#include "transport/gateway/gateway_router.h"

#include <algorithm>
#include <utility>

#include "protocol/request_digest.h"

namespace snipehall {

namespace {

// Connecting within a region takes a few milliseconds; a target that has not
// accepted a connection after this time counts as unreachable.
constexpr Milliseconds kConnectTimeout{300};
// Each instance keeps at most 1/kMaxInstances of the connections that a target
// accepts from all instances, because an instance does not know how many there
// are; but at least kMinConnections.
constexpr int kMaxInstances = 16;
constexpr int kMinConnections = 4;
// Maximum number of connections to another instance for forwarded requests.
constexpr int kMaxForwardConnections = 256;
// Maximum number of instances to which a request is forwarded.
constexpr std::size_t kMaxForwarders = 2;
// A target that ends may close its connections before it stops listening.
constexpr Milliseconds kTargetEndTime{50};
// Failed connection attempts after which a request is answered with 503.
constexpr int kMaxFailedConnects = 3;
// A request waits for an owner of its key for at most the route's latency
// objective divided by this. After that a retry by the caller is worth more
// than a late response.
constexpr int kOwnerWaitDivisor = 2;
// Interval at which a waiting request checks again without a state change.
constexpr Milliseconds kOwnerPollInterval{100};
// Values of Retry-After: the usual time until a slot becomes free, and until
// keys have a new owner.
constexpr Milliseconds kBusyRetryAfter{150};
constexpr Milliseconds kOwnerRetryAfter{300};
// Bounds of Retry-After for a target at its rate limit.
constexpr Milliseconds kMinLimitRetryAfter{50};
constexpr Milliseconds kMaxLimitRetryAfter{1000};
// Number of cold targets without a permit after which a request is refused, so
// that the leader is not asked about all of them for each request.
constexpr int kMaxColdRefusals = 3;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

Task<GatewayOutcome> GatewayRouter::Serve() {
  const MonotonicTime now = Now();
  const ServiceName& name = m_context.split.Select(*m_request.route);
  m_service = m_context.services.Find(now, name);
  const ServicePolicy* policy = m_request.policy->FindService(name);
  m_keyed = policy != nullptr && policy->keyed;
  Action action = Action::kRetry;
  if (m_service == nullptr) {
    action = FinishUnavailable("no such service", kOwnerRetryAfter);
  } else if (m_keyed && !m_request.info.key) {
    action = FinishWithError(400, "no key");
  } else {
    // The instance that forwards a request has counted it.
    const bool forwarded = m_request.info.attempts_left.has_value();
    if (!forwarded) {
      m_service->retry_budget.OnRequest(now);
    }
    if (m_keyed && !forwarded) {
      m_context.key_loads.OnRequest(name, *m_request.info.key);
    }
  }
  while (action == Action::kRetry) {
    action = co_await TryOnce();
  }
  co_return std::move(m_outcome);
}

Task<GatewayRouter::Action> GatewayRouter::TryOnce() {
  if (m_request.interrupted()) {
    co_return HandleInterruption();
  }
  if (IsBlocked()) {
    m_context.metrics.IncrementEvent("poison_request_refused");
    co_return FinishWithError(m_may_have_run ? 502 : 400,
                              "request crashes its targets");
  }
  if (Now() >= m_context.shutdown.refuses_long_requests_at &&
      m_request.deadline > m_context.shutdown.responses_due_at) {
    co_return FinishUnavailable("the instance is shutting down",
                                kBusyRetryAfter);
  }
  Action action = Action::kRetry;
  if (m_service->reachability.cut_off()) {
    action = co_await Forward();
    co_return action;
  }
  if (!ChooseTarget(Now())) {
    const std::string_view cause = m_keyed ? "no owner" : "no target";
    action = co_await WaitForStateChange(cause, m_context.state.version());
    co_return action;
  }
  const std::optional<Action> not_admitted = co_await Admit();
  if (not_admitted) {
    co_return *not_admitted;
  }
  const Milliseconds pause = m_context.pauses.Remaining(Now(), m_target.id);
  if (pause.count() > 0) {
    m_context.metrics.IncrementEvent("target_paused");
    co_return TryOtherTarget("target asked for a pause",
                             std::max(pause, kMinLimitRetryAfter));
  }
  const bool permitted = co_await AcquirePermit();
  if (m_request.CheckInterrupted()) {
    co_return HandleInterruption();
  }
  if (!permitted) {
    m_context.metrics.IncrementEvent("rate_limited");
    constexpr std::string_view kCause = "target rate limit";
    const Milliseconds wait = std::clamp(
        m_limit_retry_after, kMinLimitRetryAfter, kMaxLimitRetryAfter);
    if (IsTargetCold() && ++m_cold_refusals >= kMaxColdRefusals) {
      co_return FinishUnavailable(kCause, wait);
    }
    co_return TryOtherTarget(kCause, wait);
  }
  action = co_await RunAttempt();
  co_return action;
}

Task<GatewayRouter::Action> GatewayRouter::Forward() {
  constexpr std::string_view kCause = "no target can be reached";
  if (m_request.info.attempts_left) {
    // A request is forwarded once. Without Retry-After, the sender tries
    // another instance.
    co_return FinishUnavailable(kCause, Milliseconds(0));
  }
  const std::vector<std::string>* forwarders =
      m_context.state.FindForwarders(m_service->name);
  Action action = Action::kRetry;
  if (forwarders == nullptr) {
    action = co_await WaitForStateChange(kCause, m_context.state.version());
    co_return action;
  }
  const auto next = std::find_if(
      forwarders->begin(), forwarders->end(), [this](const auto& address) {
        return std::find(m_tried_forwarders.begin(), m_tried_forwarders.end(),
                         address) == m_tried_forwarders.end();
      });
  if (next == forwarders->end() ||
      m_tried_forwarders.size() >= kMaxForwarders ||
      m_attempts >= max_attempts()) {
    co_return FinishUnavailable(kCause, kOwnerRetryAfter);
  }
  action = co_await ForwardTo(*next);
  co_return action;
}

Task<GatewayRouter::Action> GatewayRouter::ForwardTo(std::string address) {
  const std::shared_ptr<TargetPool> pool = m_context.pools.Find(address);
  if (!pool) {
    m_tried_forwarders.push_back(std::move(address));
    co_return Action::kRetry;
  }
  pool->set_max_connections(kMaxForwardConnections);
  const bool has_id = !m_request.info.request_id.empty();
  std::shared_ptr<ByteStream> stream = has_id ? pool->TakeIdle() : nullptr;
  const bool reused = stream != nullptr;
  if (!reused) {
    stream = pool->NewStream(m_context.executor);
  }
  TargetPool::PooledConnection lease(pool, stream);
  if (!reused) {
    const bool connected = co_await OpenConnection(*pool, *stream);
    if (m_request.CheckInterrupted()) {
      co_return HandleInterruption();
    }
    if (!connected) {
      m_tried_forwarders.push_back(std::move(address));
      co_return Action::kRetry;
    }
  }
  m_target = {};
  m_forwarded = true;
  m_sent_after =
      std::chrono::duration_cast<Milliseconds>(Now() - m_request.received_at);
  TargetExchange exchange(m_request, *stream, m_context.names,
                          m_context.response_buffers, reused);
  const TargetExchangeResult end = co_await exchange.RunForwarded(
      max_attempts() - m_attempts, m_request.deadline);
  stream.reset();
  if (exchange.reusable() && has_id) {
    lease.Reuse();
  }
  switch (end) {
    case TargetExchangeResult::kAnswered:
      co_return HandleForwardedResponse(exchange);
    case TargetExchangeResult::kRefused:
      m_context.metrics.IncrementEvent("forward_refused");
      m_tried_forwarders.push_back(std::move(address));
      if (exchange.info().pause) {
        co_return FinishUnavailable("refused by another instance",
                                    *exchange.info().pause);
      }
      co_return Action::kRetry;
    case TargetExchangeResult::kNotSent:
      // The instance had closed the idle connection in the meantime.
      co_return Action::kRetry;
    case TargetExchangeResult::kLost:
      m_context.metrics.IncrementEvent("forward_lost");
      m_may_have_run = true;
      co_return FinishWithError(502, "answer lost by another instance");
    case TargetExchangeResult::kInterrupted:
      m_may_have_run = m_may_have_run || exchange.sent();
      break;
  }
  co_return HandleInterruption();
}

GatewayRouter::Action GatewayRouter::HandleForwardedResponse(
    TargetExchange& exchange) {
  m_context.metrics.IncrementEvent("forwarded");
  if (exchange.info().target.empty()) {
    // The other instance has generated the response.
    m_may_have_run = true;
    return FinishWithError(static_cast<int>(exchange.status()),
                           "failed at another instance");
  }
  m_target.id = exchange.info().target;
  const auto listed = m_context.state.targets().find(m_target.id);
  if (listed != m_context.state.targets().end()) {
    m_target_start_ms = listed->second.start_time_ms;
    RecordTargetState(exchange.info());
  }
  return AcceptResponse(exchange);
}

RequestDigest GatewayRouter::digest() const {
  return DigestRequest(m_request.parser->get(), m_context.names,
                       m_request.body);
}

bool GatewayRouter::IsBlocked() const {
  return !m_context.poison_requests.empty() &&
         m_context.poison_requests.IsBlocked(Now(), digest());
}

void GatewayRouter::RecordTargetCrash(MonotonicTime sent_at,
                                      MonotonicTime lost_at) {
  m_context.metrics.IncrementEvent("target_crashed");
  const PoisonRequestDetector::Loss loss{
      digest(), sent_at, lost_at,
      static_cast<std::uint64_t>(lost_at.time_since_epoch().count())};
  const bool blocks = m_context.poison_requests.OnTargetLost(Now(), loss);
  if (m_context.on_target_lost) {
    m_context.on_target_lost(loss, blocks);
  }
}

Task<bool> GatewayRouter::HasTargetEnded(
    const std::shared_ptr<TargetPool>& pool) {
  for (int i = 0; i < 2; ++i) {
    const std::shared_ptr<ByteStream> stream =
        pool->NewStream(m_context.executor);
    const TargetPool::PooledConnection lease(pool, stream);
    m_request.target_stream = stream.get();
    m_request.SetStepDeadline(Now() + kConnectTimeout);
    const auto [error] =
        co_await stream->socket().async_connect(pool->endpoint(), kAsTuple);
    m_request.target_stream = nullptr;
    m_request.ClearStepDeadline();
    if (error) {
      co_return error == boost::asio::error::connection_refused;
    }
    const auto listed = m_context.state.targets().find(m_target.id);
    if (listed != m_context.state.targets().end() &&
        listed->second.start_time_ms != m_target_start_ms) {
      co_return true;
    }
    if (i == 0) {
      m_request.SetStepDeadline(Now() + kTargetEndTime);
      while (!m_request.wait_cancelled()) {
        co_await m_request.event.Wait();
      }
      m_request.ClearStepDeadline();
    }
    if (m_request.interrupted()) {
      break;
    }
  }
  co_return false;
}

void GatewayRouter::RecordResponse() {
  if (m_context.poison_requests.empty()) {
    return;
  }
  const RequestDigest request_digest = digest();
  if (m_context.poison_requests.OnResponse(Now(), request_digest) &&
      m_context.on_harmless_request) {
    m_context.on_harmless_request(request_digest);
  }
}

bool GatewayRouter::ChooseTarget(MonotonicTime now) {
  m_chosen_version = m_context.state.version();
  if (m_keyed) {
    return ChooseOwner(now);
  }
  std::optional<std::size_t> index;
  if (!m_service->cold_targets.empty()) {
    index = ChooseAmongColdTargets(now);
  }
  if (!index) {
    index = m_service->chooser.Choose(now, m_tried_targets);
  }
  if (!index) {
    index = m_service->chooser.Choose(now);
  }
  if (!index || *index >= m_service->targets.size()) {
    return false;
  }
  m_target = m_service->targets[*index];
  return !IsMisdirected(m_target, m_fencing_token);
}

std::optional<std::size_t> GatewayRouter::ChooseAmongColdTargets(
    MonotonicTime now) {
  std::vector<TargetId> cold;
  std::vector<TargetId> without_permits = m_tried_targets;
  for (const auto& [id, cold_until] : m_service->cold_targets) {
    if (now < cold_until) {
      cold.push_back(id);
    }
    if (m_context.cold_pauses.Remaining(now, id).count() > 0) {
      without_permits.push_back(id);
    }
  }
  std::vector<TargetId> cold_or_tried = cold;
  cold_or_tried.insert(cold_or_tried.end(), m_tried_targets.begin(),
                       m_tried_targets.end());
  auto index = m_service->chooser.Choose(now, cold_or_tried);
  if (!index) {
    index = m_service->chooser.Choose(now, without_permits);
  }
  return index ? index : m_service->chooser.Choose(now, cold);
}

bool GatewayRouter::ChooseOwner(MonotonicTime /*now*/) {
  const ServiceName& service = m_service->name;
  const KeyAssignment* range =
      m_context.state.keys().Find(service, *m_request.info.key);
  if (range == nullptr || range->moving()) {
    return false;
  }
  const auto found = m_context.state.targets().find(range->owner);
  if (found == m_context.state.targets().end() || found->second.draining) {
    return false;
  }
  const ListedTarget& owner = found->second;
  m_target = {owner.id, owner.zone, owner.address, owner.draining};
  m_fencing_token = range->fencing_token;
  return !IsMisdirected(m_target, m_fencing_token);
}

bool GatewayRouter::IsMisdirected(const RouteTarget& target,
                                  FencingToken token) const {
  return std::find(m_misdirections.begin(), m_misdirections.end(),
                   Misdirection{target.id, target.address, token}) !=
         m_misdirections.end();
}

AdmissionDecision GatewayRouter::DecideAdmission(MonotonicTime now) {
  if (m_keyed) {
    const double fraction = m_context.state.AdmittedFraction(
        now, m_service->name, *m_request.info.key);
    // The fraction is of requests, however often each asks.
    if (fraction < 1 && !std::exchange(m_key_admitted, true)) {
      const AdmissionDecision decision =
          m_context.admission.DecideForKey(now, m_request.deadline, fraction);
      if (decision.action != AdmissionDecision::Action::kSend) {
        return decision;
      }
    }
  }
  const Route& route = *m_request.route;
  const TargetOutlook outlook = m_service->chooser.Outlook(now, m_target.id);
  const std::chrono::duration<double, std::milli> mean =
      m_context.services.target_loads()
          .ServiceTime(route.name)
          .value_or(Milliseconds(0));
  AdmissionInput input;
  // What has cost a target work already goes first.
  input.priority = m_attempts > 0
                       ? std::min(route.priority, m_service->urgent_priority)
                       : route.priority;
  input.urgent_priority = m_service->urgent_priority;
  input.urgent_objective = m_service->urgent_objective;
  input.held = m_held;
  input.received_at = m_request.received_at;
  input.objective = route.latency_objective;
  input.deadline = m_request.deadline;
  input.expected_wait = std::chrono::round<Milliseconds>(mean * outlook.wait);
  input.service_time = std::chrono::round<Milliseconds>(mean * outlook.service);
  return m_context.admission.Decide(now, input);
}

Task<std::optional<GatewayRouter::Action>> GatewayRouter::Admit() {
  using Decision = AdmissionDecision::Action;
  if (!m_context.services.learns_capacity()) {
    co_return std::nullopt;
  }
  const AdmissionDecision decision = DecideAdmission(Now());
  if (decision.action == Decision::kSend) {
    co_return std::nullopt;
  }
  const std::string rank = "_p" + std::to_string(m_request.route->priority);
  if (decision.action == Decision::kRefuse) {
    // It could not be refused as not run any more, and its retry is paid for.
    if (m_may_have_run) {
      co_return std::nullopt;
    }
    m_context.metrics.IncrementEvent("admission_refused" + rank);
    co_return FinishUnavailable("too little room", decision.retry_after);
  }
  if (!std::exchange(m_held, true)) {
    m_context.metrics.IncrementEvent("admission_held" + rank);
  }
  m_request.SetStepDeadline(decision.retry_at);
  while (!m_request.wait_cancelled()) {
    co_await m_request.event.Wait();
  }
  m_request.ClearStepDeadline();
  co_return Action::kRetry;
}

bool GatewayRouter::IsTargetCold() const {
  const auto listed = m_context.state.targets().find(m_target.id);
  const ServicePolicy* policy = m_request.policy->FindService(m_service->name);
  return listed != m_context.state.targets().end() && policy != nullptr &&
         IsCold(Now(), listed->second, policy->cold_rate);
}

std::optional<double> GatewayRouter::PermitRate() const {
  const std::optional<double> limit = m_context.rate_limits.Limit(m_target.id);
  if (!IsTargetCold()) {
    return limit;
  }
  const ServicePolicy* policy = m_request.policy->FindService(m_service->name);
  const double rate = ColdPermitRate(policy->cold_rate, m_context.cold_bounds);
  return limit ? std::min(*limit, rate) : rate;
}

Task<bool> GatewayRouter::AcquirePermit() {
  const std::optional<double> limit = PermitRate();
  if (!limit) {
    co_return true;
  }
  const bool cold = IsTargetCold();
  if (cold) {
    m_limit_retry_after = m_context.cold_pauses.Remaining(Now(), m_target.id);
    if (m_limit_retry_after.count() > 0) {
      co_return false;
    }
  }
  // The callback may be called after this coroutine has ended.
  const auto response = std::make_shared<std::optional<LeaderPermitResponse>>();
  if (m_context.request_permit) {
    m_context.request_permit(m_target.id, *limit,
                             [this, weak = std::weak_ptr(response)](
                                 const LeaderPermitResponse& received) {
                               if (const auto waiting = weak.lock()) {
                                 *waiting = received;
                                 m_request.event.Notify();
                               }
                             });
    m_request.SetStepDeadline(Now() + PermitRequests::kResponseTimeout);
    while (!response->has_value() && !m_request.wait_cancelled()) {
      co_await m_request.event.Wait();
    }
    m_request.ClearStepDeadline();
  }
  if (response->has_value()) {
    m_limit_retry_after = (*response)->retry_after;
    if (cold && !(*response)->granted) {
      m_context.cold_pauses.OnPause(
          Now(), m_target.id,
          std::min(m_limit_retry_after, kMaxLimitRetryAfter));
    }
    co_return (*response)->granted;
  }
  m_context.metrics.IncrementEvent("permit_response_lost");
  if (cold) {
    m_limit_retry_after = kOwnerRetryAfter;
    if (!m_request.interrupted()) {
      m_context.cold_pauses.OnPause(Now(), m_target.id, m_limit_retry_after);
    }
    co_return false;
  }
  const MonotonicTime now = Now();
  m_limit_retry_after = m_context.rate_limits.TimeToNextShare(now, m_target.id);
  co_return m_context.rate_limits.TryTake(now, m_target.id);
}

GatewayRouter::Action GatewayRouter::TryOtherTarget(std::string_view cause,
                                                    Milliseconds wait) {
  const bool other_targets =
      !m_keyed && std::find(m_tried_targets.begin(), m_tried_targets.end(),
                            m_target.id) == m_tried_targets.end();
  if (other_targets) {
    m_tried_targets.push_back(m_target.id);
    return Action::kRetry;
  }
  return FinishUnavailable(cause, wait);
}

Task<GatewayRouter::Action> GatewayRouter::RunAttempt() {
  const std::shared_ptr<TargetPool> pool =
      m_context.pools.Find(m_target.address);
  if (!pool) {
    co_return FinishUnavailable("unreadable target address", kOwnerRetryAfter);
  }
  pool->set_max_connections(ConnectionLimit());
  TargetChooser& chooser = m_service->chooser;
  // Without a request ID, a late response to an earlier request on the same
  // connection cannot be told apart.
  const bool has_id = !m_request.info.request_id.empty();
  std::shared_ptr<ByteStream> stream =
      has_id ? pool->TakeIdle(m_refused_connections) : nullptr;
  const bool reused = stream != nullptr;
  if (!reused) {
    stream = pool->NewStream(m_context.executor);
  }
  TargetPool::PooledConnection lease(pool, stream);
  chooser.OnSent(Now(), m_target.id);
  bool connected = reused;
  if (!reused) {
    connected = co_await Connect(*pool, *stream);
  }
  if (!connected) {
    if (m_request.interrupted()) {
      chooser.OnAbandoned(m_target.id);
      co_return HandleInterruption();
    }
    chooser.OnUnreachable(Now(), m_target.id);
    m_tried_targets.push_back(m_target.id);
    if (++m_failed_connects >= kMaxFailedConnects) {
      co_return FinishUnavailable("targets unreachable", kOwnerRetryAfter);
    }
    Action action = Action::kRetry;
    if (m_keyed) {
      action = co_await WaitForStateChange("owner unreachable",
                                           m_context.state.version());
    }
    co_return action;
  }
  if (!reused && m_request.CheckInterrupted()) {
    chooser.OnAbandoned(m_target.id);
    lease.Reuse();
    co_return HandleInterruption();
  }
  ++m_attempts;
  m_forwarded = false;
  const auto listed = m_context.state.targets().find(m_target.id);
  m_target_start_ms = listed == m_context.state.targets().end()
                          ? 0
                          : listed->second.start_time_ms;
  const MonotonicTime sent = Now();
  m_sent_after =
      std::chrono::duration_cast<Milliseconds>(sent - m_request.received_at);
  TargetExchange exchange(m_request, *stream, m_context.names,
                          m_context.response_buffers, reused);
  m_service->reachability.OnRequestSent(sent);
  const TargetExchangeResult end =
      co_await exchange.Run(m_target.id, m_request.deadline);
  m_service->reachability.OnRequestEnded(Now(), exchange.has_response());
  m_target_load = exchange.info().load;
  RecordCapacity(exchange, end, sent);
  if (end == TargetExchangeResult::kRefused) {
    m_refused_connections.push_back(stream);
  }
  stream.reset();
  if (exchange.reusable() && has_id) {
    lease.Reuse();
  }
  Action action = Action::kRetry;
  switch (end) {
    case TargetExchangeResult::kAnswered:
      RecordTargetState(exchange.info());
      chooser.OnAnswered(Now(), m_target.id, exchange.info().load);
      RecordServiceTime(exchange, sent);
      RecordResponse();
      co_return AcceptResponse(exchange);
    case TargetExchangeResult::kRefused:
      RecordTargetState(exchange.info());
      chooser.OnFailed(Now(), m_target.id);
      action = co_await HandleRefusal(exchange);
      co_return action;
    case TargetExchangeResult::kNotSent:
      // The target had closed the idle connection in the meantime.
      chooser.OnAbandoned(m_target.id);
      --m_attempts;
      co_return Action::kRetry;
    case TargetExchangeResult::kLost:
      chooser.OnFailed(Now(), m_target.id);
      m_may_have_run = true;
      if (exchange.connection_lost()) {
        const MonotonicTime lost_at = Now();
        const bool ended = co_await HasTargetEnded(pool);
        if (ended) {
          RecordTargetCrash(sent, lost_at);
        }
      }
      co_return HandleLostResponse();
    case TargetExchangeResult::kInterrupted:
      chooser.OnAbandoned(m_target.id);
      m_may_have_run = m_may_have_run || exchange.sent();
      break;
  }
  co_return HandleInterruption();
}

void GatewayRouter::RecordTargetState(const TargetResponseInfo& info) {
  if (info.leaving && m_context.on_target_leaving) {
    m_context.on_target_leaving(m_target.id, m_target_start_ms);
  }
  if (info.pause) {
    m_context.pauses.OnPause(Now(), m_target.id, *info.pause);
  }

  const bool changed =
      m_context.rate_limits.OnResponse(Now(), m_target.id, info.rate_limit);
  if (changed && m_context.on_rate_limit) {
    m_context.on_rate_limit(m_target.id, info.rate_limit);
  }
}

void GatewayRouter::RecordCapacity(const TargetExchange& exchange,
                                   TargetExchangeResult result,
                                   MonotonicTime sent) {
  if (!m_context.services.learns_capacity()) {
    return;
  }
  TargetLoadTable& loads = m_context.services.target_loads();
  const MonotonicTime now = Now();
  const auto& load = exchange.info().load;
  const bool answered = result == TargetExchangeResult::kAnswered;
  if (answered && exchange.status() < 500) {
    loads.OnResponse(now, m_target.id, m_request.route->name,
                     std::chrono::duration_cast<Milliseconds>(now - sent),
                     load);
    return;
  }
  if (load) {
    loads.OnReportedLoad(now, m_target.id, *load);
  }
  if (answered || result == TargetExchangeResult::kLost ||
      (result == TargetExchangeResult::kInterrupted && exchange.sent() &&
       m_request.deadline_passed())) {
    loads.OnFailure(m_target.id);
  }
}

void GatewayRouter::RecordServiceTime(const TargetExchange& exchange,
                                      MonotonicTime sent) {
  const auto& load = exchange.info().load;
  if (!m_keyed || !load || load->slots < 1) {
    return;
  }
  const auto elapsed = std::chrono::duration_cast<Milliseconds>(Now() - sent);
  // While the target has free slots, the time has no queueing in it.
  if (!load->IsFull()) {
    m_context.key_loads.OnAnswer(m_service->name, m_target.id, elapsed);
  } else if (m_context.services.learns_capacity()) {
    // A full queue takes as many service times as it is long, in units of the
    // slots. Without this, a target that is always full seems to be as fast as
    // the others.
    m_context.key_loads.OnAnswer(m_service->name, m_target.id,
                                 elapsed * load->slots / load->outstanding);
  }
}

Task<bool> GatewayRouter::OpenConnection(TargetPool& pool, ByteStream& stream) {
  m_request.target_stream = &stream;
  m_request.SetStepDeadline(Now() + kConnectTimeout);
  const auto [error] =
      co_await stream.socket().async_connect(pool.endpoint(), kAsTuple);
  m_request.target_stream = nullptr;
  const bool expired = m_request.step_expired();
  m_request.ClearStepDeadline();
  if (error || expired) {
    m_context.metrics.IncrementEvent("connect_failed");
  }
  co_return !error && !expired;
}

Task<bool> GatewayRouter::Connect(TargetPool& pool, ByteStream& stream) {
  const MonotonicTime began_at = Now();
  const bool connected = co_await OpenConnection(pool, stream);
  if (connected) {
    m_service->reachability.OnConnected(Now());
    co_return !m_request.interrupted();
  }
  if (!m_request.interrupted()) {
    if (m_keyed) {
      m_context.on_target_unreachable(m_target.id);
    }
    m_service->reachability.OnConnectFailed(began_at);
    if (m_context.on_connect_failed) {
      m_context.on_connect_failed();
    }
  }
  co_return false;
}

int GatewayRouter::max_attempts() const {
  return std::min(
      m_request.route->max_attempts,
      m_request.info.attempts_left.value_or(m_request.route->max_attempts));
}

int GatewayRouter::ConnectionLimit() const {
  const ServicePolicy* policy = m_request.policy->FindService(m_service->name);
  const int limit = policy == nullptr ? 0 : policy->connection_limit;
  return std::max(kMinConnections, limit / kMaxInstances);
}

bool GatewayRouter::TryTakeRetry(MonotonicTime now) {
  return m_attempts < max_attempts() && m_service->retry_budget.TryTake(now);
}

Task<GatewayRouter::Action> GatewayRouter::HandleRefusal(
    const TargetExchange& exchange) {
  m_tried_targets.push_back(m_target.id);
  m_context.metrics.IncrementEvent("target_refused");
  const bool not_owner = exchange.status() == 421;
  if (not_owner) {
    m_misdirections.push_back({m_target.id, m_target.address, m_fencing_token});
  }
  // Sending to a full owner again would only add to its load.
  const bool full = !m_target_load || m_target_load->IsFull();
  if ((m_keyed && !not_owner && full) || !TryTakeRetry(Now())) {
    co_return FinishUnavailable(
        not_owner ? "target is not the owner" : "target is full",
        kBusyRetryAfter);
  }
  Action action = Action::kRetry;
  if (m_keyed && not_owner) {
    // The keys have moved; this instance learns the new owner soon.
    action = co_await WaitForStateChange("target is not the owner",
                                         m_chosen_version);
  }
  co_return action;
}

GatewayRouter::Action GatewayRouter::HandleLostResponse() {
  m_tried_targets.push_back(m_target.id);
  m_context.metrics.IncrementEvent("answer_lost");
  if (!m_request.route->idempotent || !TryTakeRetry(Now())) {
    return FinishWithError(502, "answer lost");
  }
  return Action::kRetry;
}

GatewayRouter::Action GatewayRouter::AcceptResponse(TargetExchange& exchange) {
  const bool has_body =
      m_request.parser->get().method() != boost::beast::http::verb::head &&
      exchange.status() != 204 && exchange.status() != 304;
  m_outcome.status = static_cast<int>(exchange.status());
  m_outcome.verdict = Verdict::kRan;
  m_outcome.cause = "answered";
  m_outcome.target = m_target.id;
  // This header is for instances that forward requests.
  const bool between_instances =
      m_forwarded || m_request.info.attempts_left.has_value();
  AppendCallerResponse(
      exchange.response(), exchange.body().size(), has_body,
      between_instances ? m_context.names.expected_target : std::string_view(),
      m_outcome.head);
  m_outcome.body = exchange.TakeBody();
  m_outcome.body_memory = exchange.TakeBodyMemory();
  return Action::kFinish;
}

Task<GatewayRouter::Action> GatewayRouter::WaitForStateChange(
    std::string_view cause,
    std::uint64_t seen) {
  const MonotonicTime now = Now();
  if (!m_wait_deadline) {
    m_wait_deadline =
        now + m_request.route->latency_objective / kOwnerWaitDivisor;
  }
  if (now >= *m_wait_deadline) {
    co_return FinishUnavailable(cause, kOwnerRetryAfter);
  }
  const RoutingState::ChangeSubscription subscription(m_context.state,
                                                      m_request.event);
  m_request.SetStepDeadline(
      std::min(*m_wait_deadline, now + kOwnerPollInterval));
  while (!m_request.wait_cancelled() && m_context.state.version() == seen) {
    co_await m_request.event.Wait();
  }
  m_request.ClearStepDeadline();
  co_return Action::kRetry;
}

GatewayRouter::Action GatewayRouter::FinishUnavailable(
    std::string_view cause,
    Milliseconds retry_after) {
  if (m_may_have_run) {
    return FinishWithError(502, cause);
  }
  m_outcome.status = 503;
  m_outcome.verdict = Verdict::kNotRun;
  m_outcome.cause = cause;
  m_outcome.retry_after = retry_after;
  return Action::kFinish;
}

GatewayRouter::Action GatewayRouter::FinishWithError(int status,
                                                     std::string_view cause) {
  m_outcome.status = status;
  m_outcome.verdict = m_may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
  m_outcome.cause = cause;
  return Action::kFinish;
}

GatewayRouter::Action GatewayRouter::HandleInterruption() {
  if (m_request.caller_disconnected()) {
    return FinishWithError(0, "caller gone");
  }
  if (!m_may_have_run) {
    return FinishUnavailable("deadline passed before a target took the request",
                             kBusyRetryAfter);
  }
  return FinishWithError(504, "deadline passed at the target");
}

}  // namespace snipehall
