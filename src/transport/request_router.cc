#include "transport/request_router.h"

#include <algorithm>

#include "state/hash_range.h"

namespace snipehall {

namespace {

// A request that its owner refused, or could not be reached with, is tried
// again after this long without a newer table: the owner's lease or grant may
// be on its way, and neither changes the table.
constexpr Milliseconds kOwnerRetry{50};
// Time between looks for a target while none can be chosen.
constexpr Milliseconds kChoiceRetry{10};
// A target that does not accept a connection for this long is taken for
// unreachable. Connections within a zone take about 1 ms.
constexpr Milliseconds kConnectLimit{1000};
// Attempts of a request at targets that are not the owner of its key. More
// would spend the deadline and the budget of others on a service that fails.
constexpr int kMaxAttempts = 3;
// Retry-After of refusals whose cause has no known end.
constexpr Milliseconds kRetryAfter{1000};

}  // namespace

Task<ServeOutcome> RequestRouter::Serve() {
  m_service->budget().OnRequest();
  if (m_service->config().keyed) {
    m_hash = HashKey(m_request.context.key);
  }
  Next next = Next::kAgain;
  while (next == Next::kAgain) {
    next = m_request.interrupted() ? AfterInterrupt() : co_await Try();
  }
  co_return m_outcome;
}

RequestRouter::Choice RequestRouter::Choose(MonotonicTime now) {
  Choice choice;
  choice.table = m_context.states.Refresh(now);
  const ServiceRoutes* routes =
      choice.table->FindService(m_service->config().name);
  if (routes == nullptr) {
    return choice;
  }
  if (m_service->config().keyed) {
    const RouteRange* range = routes->Find(m_hash);
    if (range != nullptr && range->target < routes->targets.size()) {
      choice.target = &routes->targets[range->target];
      choice.token = range->token;
    }
    return choice;
  }
  auto index = m_service->chooser().Choose(now, {&m_excluded, 1});
  if (!index && !m_excluded.empty()) {
    index = m_service->chooser().Choose(now);
  }
  if (index && *index < routes->targets.size()) {
    choice.target = &routes->targets[*index];
  }
  return choice;
}

Task<RequestRouter::Next> RequestRouter::Try() {
  const bool keyed = m_service->config().keyed;
  Choice choice;
  if (keyed) {
    choice = Choose(std::chrono::steady_clock::now());
    if (choice.target == nullptr) {
      const Next next = co_await WaitForTable(choice, kChoiceRetry);
      co_return next;
    }
  }
  const std::shared_ptr<AdmissionGate> gate =
      m_service->Gate(keyed ? std::string_view(choice.target->id) : "");
  const Next admitted = co_await Admit(*gate);
  if (admitted != Next::kProceed) {
    co_return admitted;
  }
  const MonotonicTime now = std::chrono::steady_clock::now();
  AdmissionGate::Slot slot(gate, m_class_index, now);
  if (m_request.interrupted()) {
    co_return Next::kAgain;
  }
  // The owner may have changed while the request waited.
  const TargetId admitted_at = keyed ? choice.target->id : TargetId();
  choice = Choose(now);
  if (keyed && (choice.target == nullptr || choice.target->id != admitted_at)) {
    co_return Next::kAgain;
  }
  if (choice.target == nullptr) {
    const Next next = co_await WaitForTable(choice, kChoiceRetry);
    co_return next;
  }
  const Next next = co_await AttemptAt(choice, slot);
  co_return next;
}

Task<RequestRouter::Next> RequestRouter::Admit(AdmissionGate& gate) {
  const AdmissionOutcome outcome =
      gate.Offer(std::chrono::steady_clock::now(), m_request, m_class_index);
  if (outcome == AdmissionOutcome::kStart) {
    co_return Next::kProceed;
  }
  if (outcome != AdmissionOutcome::kWait) {
    co_return RefuseAdmission(outcome, gate);
  }
  while (m_request.queue_state == QueueState::kWaiting &&
         !m_request.interrupted()) {
    co_await m_request.event.Wait();
  }
  if (m_request.queue_state == QueueState::kStarted) {
    co_return Next::kProceed;
  }
  if (m_request.queue_state == QueueState::kExpired) {
    co_return Refuse(504, Verdict::kNotRun, RefusalReason::kDeadline);
  }
  gate.Withdraw(m_request);
  co_return AfterInterrupt();
}

Task<RequestRouter::Next> RequestRouter::AttemptAt(const Choice& choice,
                                                   AdmissionGate::Slot& slot) {
  const std::shared_ptr<TargetPool> pool =
      m_context.pools.Find(choice.target->address);
  if (!pool) {
    co_return Refuse(503, Verdict::kNotRun, RefusalReason::kNoTarget,
                     kRetryAfter);
  }
  pool->set_limit(std::max(1, m_service->config().connections_per_endpoint /
                                  std::max(1, choice.table->instances)));
  if (!pool->HasRoom()) {
    const Next next = co_await WaitForTable(choice, kChoiceRetry);
    co_return next;
  }
  TargetChooser& chooser = m_service->chooser();
  chooser.OnSent(std::chrono::steady_clock::now(), choice.target->id);
  std::shared_ptr<ByteStream> stream = pool->TakeIdle();
  const bool warm = stream != nullptr;
  if (!warm) {
    stream = pool->NewStream(m_context.executor);
  }
  TargetPool::Lease lease(pool, stream);
  ExchangeResult result;
  Next connected = Next::kProceed;
  if (!warm) {
    connected = co_await Connect(*pool, *stream);
  }
  const MonotonicTime now = std::chrono::steady_clock::now();
  const ServiceConfig& config = m_service->config();
  if (connected == Next::kProceed && config.keyed && !config.checks_orders &&
      !IsConfirmedOwner(choice, now)) {
    // The target would run the request even if it no longer owns the key.
    chooser.OnAbandoned(choice.target->id);
    lease.Reuse();
    const Next next = co_await AfterNotRun(choice, RefusalReason::kNoOwner);
    co_return next;
  }
  if (connected == Next::kProceed) {
    // A long body that moves does not make its target look frozen.
    RequestExchange exchange(
        m_request, *stream, ValuesFor(choice, now),
        [&chooser, target = choice.target] {
          chooser.OnProgress(std::chrono::steady_clock::now(), target->id);
        });
    result = co_await exchange.Run();
  } else if (m_request.interrupted()) {
    result.end = ExchangeEnd::kInterrupted;
  }
  stream.reset();
  if (result.reusable) {
    lease.Reuse();
  }
  slot.set_queued(result.end == ExchangeEnd::kRefused);
  NoteEnd(choice, result);
  const Next next = co_await AfterExchange(choice, result);
  co_return next;
}

bool RequestRouter::IsConfirmedOwner(const Choice& choice, MonotonicTime now) {
  // In this order: a table is published before the confirmation of its state,
  // so the one read here is at least as new as the confirmation. The owner may
  // have changed while the connection was made.
  if (!m_context.IsConfirmed(now)) {
    return false;
  }
  const Choice current = Choose(now);
  return current.target != nullptr && current.target->id == choice.target->id &&
         current.token == choice.token;
}

Task<RequestRouter::Next> RequestRouter::Connect(TargetPool& pool,
                                                 ByteStream& stream) {
  m_request.target = &stream;
  m_request.timer.Arm(std::min(
      m_request.deadline, std::chrono::steady_clock::now() + kConnectLimit));
  const auto [error] =
      co_await stream.socket().async_connect(pool.endpoint(), kTask);
  m_request.target = nullptr;
  m_request.timer.Arm(m_request.deadline);
  if (m_request.interrupt == Interrupt::kDeadline &&
      std::chrono::steady_clock::now() < m_request.deadline) {
    // Only the limit for the connection has passed.
    m_request.interrupt = Interrupt::kNone;
    co_return Next::kAgain;
  }
  co_return error || m_request.interrupted() ? Next::kAgain : Next::kProceed;
}

ForwardedValues RequestRouter::ValuesFor(const Choice& choice,
                                         MonotonicTime now) const {
  ForwardedValues values;
  values.request_id = m_request.context.request_id;
  values.deadline_ms = std::max<std::int64_t>(
      1, std::chrono::ceil<Milliseconds>(m_request.deadline - now).count());
  if (m_service->config().keyed) {
    values.hash = m_hash;
    values.token = choice.token;
  }
  values.framing = m_request.framing;
  values.body_length = m_request.body_length;
  return values;
}

void RequestRouter::NoteEnd(const Choice& choice,
                            const ExchangeResult& result) {
  const MonotonicTime now = std::chrono::steady_clock::now();
  TargetChooser& chooser = m_service->chooser();
  switch (result.end) {
    case ExchangeEnd::kAnswered:
      chooser.OnAnswered(now, choice.target->id, std::nullopt);
      break;
    case ExchangeEnd::kInterrupted:
    case ExchangeEnd::kCallerFailed:
      chooser.OnAbandoned(choice.target->id);
      break;
    default:
      chooser.OnFailed(now, choice.target->id);
  }
  if (result.sent && result.end != ExchangeEnd::kAnswered &&
      result.end != ExchangeEnd::kRefused) {
    m_request.may_have_run = true;
  }
}

Task<RequestRouter::Next> RequestRouter::AfterExchange(
    const Choice& choice,
    const ExchangeResult& result) {
  switch (result.end) {
    case ExchangeEnd::kAnswered:
      m_outcome.verdict = Verdict::kRan;
      co_return Next::kFinish;
    case ExchangeEnd::kBroken:
      m_context.target_caller.Cancel(choice.target->address,
                                     m_request.context.request_id);
      m_outcome.verdict = Verdict::kMayHaveRun;
      m_outcome.close = true;
      co_return Next::kFinish;
    case ExchangeEnd::kRefused: {
      const Next next =
          co_await AfterNotRun(choice, RefusalReason::kTargetRefused);
      co_return next;
    }
    case ExchangeEnd::kNotSent: {
      const Next next = co_await AfterNotRun(choice, RefusalReason::kNoTarget);
      co_return next;
    }
    case ExchangeEnd::kLost:
      co_return AfterLost(choice);
    case ExchangeEnd::kInterrupted:
      if (result.sent) {
        m_context.target_caller.Cancel(choice.target->address,
                                       m_request.context.request_id);
      }
      co_return AfterInterrupt();
    case ExchangeEnd::kCallerFailed:
      if (result.sent) {
        m_context.target_caller.Cancel(choice.target->address,
                                       m_request.context.request_id);
      }
      m_request.keep_alive = false;
      co_return Refuse(400, Verdict::kNotRun, RefusalReason::kMalformed);
  }
  co_return Next::kFinish;
}

Task<RequestRouter::Next> RequestRouter::AfterNotRun(const Choice& choice,
                                                     RefusalReason reason) {
  if (m_request.interrupted()) {
    co_return AfterInterrupt();
  }
  if (!m_request.IsReplayable()) {
    co_return Refuse(503, Verdict::kNotRun, reason, kRetryAfter);
  }
  if (m_service->config().keyed) {
    // The wait bounds these repetitions, so they take nothing from the budget.
    const Next next = co_await WaitForTable(choice, kOwnerRetry);
    if (next != Next::kAgain) {
      co_return next;
    }
  } else if (TakeRetry()) {
    m_excluded = choice.target->id;
  } else {
    co_return Refuse(503, Verdict::kNotRun, reason, kRetryAfter);
  }
  m_context.metrics.retries().Increment();
  co_return Next::kAgain;
}

bool RequestRouter::TakeRetry() {
  ++m_attempts;
  return m_attempts < kMaxAttempts && m_service->budget().TryTake();
}

RequestRouter::Next RequestRouter::AfterLost(const Choice& choice) {
  if (m_request.interrupted()) {
    return AfterInterrupt();
  }
  if (!m_request.context.repeatable || !m_request.IsReplayable() ||
      !TakeRetry()) {
    return Refuse(502, Verdict::kMayHaveRun, RefusalReason::kTargetLost);
  }
  m_excluded = choice.target->id;
  m_context.metrics.retries().Increment();
  return Next::kAgain;
}

RequestRouter::Next RequestRouter::AfterInterrupt() {
  if (m_request.interrupt != Interrupt::kDeadline) {
    m_outcome.verdict =
        m_request.may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
    m_outcome.close = true;
    return Next::kFinish;
  }
  if (std::chrono::steady_clock::now() < m_request.deadline) {
    // The caller sent no more of its body.
    m_request.keep_alive = false;
    return Refuse(408, Verdict::kNotRun, RefusalReason::kSlowCaller);
  }
  return Refuse(504, Verdict::kNotRun, RefusalReason::kDeadline);
}

Task<RequestRouter::Next> RequestRouter::WaitForTable(const Choice& choice,
                                                      Milliseconds at_most) {
  const bool waited = co_await m_context.table_watch.Wait(
      m_request, choice.table->offset,
      std::chrono::steady_clock::now() + at_most);
  if (waited) {
    co_return Next::kAgain;
  }
  const bool keyed = m_service->config().keyed;
  co_return Refuse(503, Verdict::kNotRun,
                   keyed ? RefusalReason::kNoOwner : RefusalReason::kNoTarget,
                   kRetryAfter);
}

RequestRouter::Next RequestRouter::Refuse(int status,
                                          Verdict verdict,
                                          RefusalReason reason,
                                          Milliseconds retry_after) {
  // An earlier attempt decides: a status that says "not run" would be wrong.
  if (m_request.may_have_run && verdict == Verdict::kNotRun) {
    verdict = Verdict::kMayHaveRun;
    if (status == 503 || status == 429) {
      status = 502;
    }
  }
  m_outcome.verdict = verdict;
  m_outcome.reply = LocalReply{status, verdict, reason, retry_after};
  return Next::kFinish;
}

RequestRouter::Next RequestRouter::RefuseAdmission(AdmissionOutcome outcome,
                                                   const AdmissionGate& gate) {
  const Milliseconds retry_after = gate.RetryAfter(m_class_index);
  switch (outcome) {
    case AdmissionOutcome::kOverShare:
      return Refuse(429, Verdict::kNotRun, RefusalReason::kOverShare,
                    retry_after);
    case AdmissionOutcome::kTooLate:
      return Refuse(503, Verdict::kNotRun, RefusalReason::kTooLate,
                    retry_after);
    default:
      return Refuse(503, Verdict::kNotRun, RefusalReason::kQueueFull,
                    retry_after);
  }
}

}  // namespace snipehall
