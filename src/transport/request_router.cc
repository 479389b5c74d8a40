#include "transport/request_router.h"

#include <algorithm>

#include "state/hash_range.h"

namespace snipehall {

namespace {

// Retry delay without a newer routing table, after the owner refused a request
// or could not be reached. The owner may be about to receive its lease or
// grant, neither of which changes the table.
constexpr Milliseconds kOwnerRetryDelay{50};
// Retry delay while no target is available.
constexpr Milliseconds kSelectionRetryDelay{10};
// Time after which a target is considered unreachable. Connecting within a zone
// takes about 1 ms.
constexpr Milliseconds kConnectTimeout{1000};
// Maximum number of attempts per request. Attempts at the owner of a key that
// did not run the request are not counted. More attempts would use up the
// deadline, and the retry budget of other requests, on a failing service.
constexpr int kMaxAttempts = 3;
// Retry-After of refusals when the duration of the cause is unknown.
constexpr Milliseconds kDefaultRetryAfter{1000};

}  // namespace

Task<ServeOutcome> RequestRouter::Serve() {
  m_service->budget().OnRequest();
  if (m_service->config().keyed) {
    m_key_hash = HashKey(m_request.context.key);
  }
  NextStep next = NextStep::kRetry;
  while (next == NextStep::kRetry) {
    next =
        m_request.is_cancelled() ? HandleCancellation() : co_await RunAttempt();
  }
  co_return m_outcome;
}

RequestRouter::Selection RequestRouter::SelectTarget(MonotonicTime now) {
  Selection selection;
  selection.table = m_context.services.Refresh(now);
  const ServiceRoutes* routes =
      selection.table->FindService(m_service->config().name);
  if (routes == nullptr) {
    return selection;
  }
  if (m_service->config().keyed) {
    const RouteRange* range = routes->Find(m_key_hash);
    if (range != nullptr && range->target < routes->targets.size()) {
      selection.target = &routes->targets[range->target];
      selection.token = range->token;
    }
    return selection;
  }
  auto index = m_service->chooser().Choose(now, {&m_excluded_target, 1});
  if (!index && !m_excluded_target.empty()) {
    index = m_service->chooser().Choose(now);
  }
  if (index && *index < routes->targets.size()) {
    selection.target = &routes->targets[*index];
  }
  return selection;
}

Task<RequestRouter::NextStep> RequestRouter::RunAttempt() {
  const bool keyed = m_service->config().keyed;
  Selection selection;
  if (keyed) {
    selection = SelectTarget(std::chrono::steady_clock::now());
    if (selection.target == nullptr) {
      const NextStep next =
          co_await WaitForNewerTable(selection, kSelectionRetryDelay);
      co_return next;
    }
  }
  const std::shared_ptr<AdmissionQueue> queue =
      m_service->QueueFor(keyed ? std::string_view(selection.target->id) : "");
  const NextStep admitted = co_await Admit(*queue);
  if (admitted != NextStep::kContinue) {
    co_return admitted;
  }
  const MonotonicTime now = std::chrono::steady_clock::now();
  AdmissionQueue::Slot slot(queue, m_class_index, now);
  if (m_request.is_cancelled()) {
    co_return NextStep::kRetry;
  }
  // The owner may have changed while the request was queued.
  const TargetId admitted_target = keyed ? selection.target->id : TargetId();
  selection = SelectTarget(now);
  if (keyed && (selection.target == nullptr ||
                selection.target->id != admitted_target)) {
    co_return NextStep::kRetry;
  }
  if (selection.target == nullptr) {
    const NextStep next =
        co_await WaitForNewerTable(selection, kSelectionRetryDelay);
    co_return next;
  }
  const NextStep next = co_await SendToTarget(selection, slot);
  co_return next;
}

Task<RequestRouter::NextStep> RequestRouter::Admit(AdmissionQueue& queue) {
  const AdmissionOutcome outcome =
      queue.Admit(std::chrono::steady_clock::now(), m_request, m_class_index);
  if (outcome == AdmissionOutcome::kStart) {
    co_return NextStep::kContinue;
  }
  if (outcome != AdmissionOutcome::kWait) {
    co_return RefuseAdmission(outcome, queue);
  }
  while (m_request.queue_state == QueueState::kWaiting &&
         !m_request.is_cancelled()) {
    co_await m_request.event.Wait();
  }
  if (m_request.queue_state == QueueState::kStarted) {
    co_return NextStep::kContinue;
  }
  if (m_request.queue_state == QueueState::kExpired) {
    co_return Refuse(504, Verdict::kNotRun, RefusalReason::kDeadline);
  }
  queue.CancelWait(m_request);
  co_return HandleCancellation();
}

Task<RequestRouter::NextStep> RequestRouter::SendToTarget(
    const Selection& selection,
    AdmissionQueue::Slot& slot) {
  const std::shared_ptr<TargetPool> pool =
      m_context.pools.Find(selection.target->address);
  if (!pool) {
    co_return Refuse(503, Verdict::kNotRun, RefusalReason::kNoTarget,
                     kDefaultRetryAfter);
  }
  pool->set_max_connections(
      std::max(1, m_service->config().connections_per_endpoint /
                      std::max(1, selection.table->instances)));
  if (!pool->HasCapacity()) {
    const NextStep next =
        co_await WaitForNewerTable(selection, kSelectionRetryDelay);
    co_return next;
  }
  TargetChooser& chooser = m_service->chooser();
  chooser.OnSent(std::chrono::steady_clock::now(), selection.target->id);
  std::shared_ptr<ByteStream> stream = pool->TakeIdle();
  const bool reused = stream != nullptr;
  if (!reused) {
    stream = pool->NewStream(m_context.executor);
  }
  TargetPool::PooledConnection lease(pool, stream);
  ExchangeResult result;
  NextStep connected = NextStep::kContinue;
  if (!reused) {
    connected = co_await Connect(*pool, *stream);
  }
  const MonotonicTime now = std::chrono::steady_clock::now();
  const ServiceConfig& config = m_service->config();
  if (connected == NextStep::kContinue && config.keyed &&
      !config.checks_orders && !IsConfirmedOwner(selection, now)) {
    // The target does not check ownership and would run the request even if it
    // no longer owned the key.
    chooser.OnAbandoned(selection.target->id);
    lease.Reuse();
    const NextStep next =
        co_await HandleNotRun(selection, RefusalReason::kNoOwner);
    co_return next;
  }
  if (connected == NextStep::kContinue) {
    // Report progress, so that a target that transfers a long body is not
    // considered stalled.
    RequestExchange exchange(
        m_request, *stream, MakeForwardedHeaderValues(selection, now),
        [&chooser, target = selection.target] {
          chooser.OnProgress(std::chrono::steady_clock::now(), target->id);
        });
    result = co_await exchange.Run();
  } else if (m_request.is_cancelled()) {
    result.outcome = ExchangeOutcome::kCancelled;
  }
  stream.reset();
  if (result.reusable) {
    lease.Reuse();
  }
  slot.set_target_overloaded(result.outcome == ExchangeOutcome::kRefused);
  RecordOutcome(selection, result);
  const NextStep next = co_await HandleExchangeResult(selection, result);
  co_return next;
}

bool RequestRouter::IsConfirmedOwner(const Selection& selection,
                                     MonotonicTime now) {
  // The order matters: a table is published before its state is confirmed, so
  // the table read after the confirmation is at least as new. The owner may
  // have changed during connecting.
  if (!m_context.IsConfirmed(now)) {
    return false;
  }
  const Selection current = SelectTarget(now);
  return current.target != nullptr &&
         current.target->id == selection.target->id &&
         current.token == selection.token;
}

Task<RequestRouter::NextStep> RequestRouter::Connect(TargetPool& pool,
                                                     ByteStream& stream) {
  m_request.target = &stream;
  m_request.timer.Arm(std::min(
      m_request.deadline, std::chrono::steady_clock::now() + kConnectTimeout));
  const auto [error] =
      co_await stream.socket().async_connect(pool.endpoint(), kAsTuple);
  m_request.target = nullptr;
  m_request.timer.Arm(m_request.deadline);
  if (m_request.cancel_reason == CancelReason::kDeadline &&
      std::chrono::steady_clock::now() < m_request.deadline) {
    // Only the connect timeout has expired, not the deadline.
    m_request.cancel_reason = CancelReason::kNone;
    co_return NextStep::kRetry;
  }
  co_return error || m_request.is_cancelled() ? NextStep::kRetry
                                              : NextStep::kContinue;
}

ForwardedHeaderValues RequestRouter::MakeForwardedHeaderValues(
    const Selection& selection,
    MonotonicTime now) const {
  ForwardedHeaderValues values;
  values.request_id = m_request.context.request_id;
  values.deadline_ms = std::max<std::int64_t>(
      1, std::chrono::ceil<Milliseconds>(m_request.deadline - now).count());
  if (m_service->config().keyed) {
    values.hash = m_key_hash;
    values.token = selection.token;
  }
  values.framing = m_request.framing;
  values.body_length = m_request.body_length;
  return values;
}

void RequestRouter::RecordOutcome(const Selection& selection,
                                  const ExchangeResult& result) {
  const MonotonicTime now = std::chrono::steady_clock::now();
  TargetChooser& chooser = m_service->chooser();
  switch (result.outcome) {
    case ExchangeOutcome::kCompleted:
      chooser.OnAnswered(now, selection.target->id, std::nullopt);
      break;
    case ExchangeOutcome::kCancelled:
    case ExchangeOutcome::kInvalidBody:
      chooser.OnAbandoned(selection.target->id);
      break;
    default:
      chooser.OnFailed(now, selection.target->id);
  }
  if (result.sent && result.outcome != ExchangeOutcome::kCompleted &&
      result.outcome != ExchangeOutcome::kRefused) {
    m_request.may_have_run = true;
  }
}

Task<RequestRouter::NextStep> RequestRouter::HandleExchangeResult(
    const Selection& selection,
    const ExchangeResult& result) {
  switch (result.outcome) {
    case ExchangeOutcome::kCompleted:
      m_outcome.verdict = Verdict::kRan;
      co_return NextStep::kDone;
    case ExchangeOutcome::kTruncated:
      m_context.control_sender.SendCancellation(selection.target->address,
                                                m_request.context.request_id);
      m_outcome.verdict = Verdict::kMayHaveRun;
      m_outcome.close = true;
      co_return NextStep::kDone;
    case ExchangeOutcome::kRefused: {
      const NextStep next =
          co_await HandleNotRun(selection, RefusalReason::kTargetRefused);
      co_return next;
    }
    case ExchangeOutcome::kNotSent: {
      const NextStep next =
          co_await HandleNotRun(selection, RefusalReason::kNoTarget);
      co_return next;
    }
    case ExchangeOutcome::kTargetFailed:
      co_return HandleTargetFailure(selection);
    case ExchangeOutcome::kCancelled:
      if (result.sent) {
        m_context.control_sender.SendCancellation(selection.target->address,
                                                  m_request.context.request_id);
      }
      co_return HandleCancellation();
    case ExchangeOutcome::kInvalidBody:
      if (result.sent) {
        m_context.control_sender.SendCancellation(selection.target->address,
                                                  m_request.context.request_id);
      }
      m_request.keep_alive = false;
      co_return Refuse(400, Verdict::kNotRun, RefusalReason::kMalformed);
  }
  co_return NextStep::kDone;
}

Task<RequestRouter::NextStep> RequestRouter::HandleNotRun(
    const Selection& selection,
    RefusalReason reason) {
  if (m_request.is_cancelled()) {
    co_return HandleCancellation();
  }
  if (!m_request.IsReplayable()) {
    co_return Refuse(503, Verdict::kNotRun, reason, kDefaultRetryAfter);
  }
  if (m_service->config().keyed) {
    // The wait limits the rate of these retries, so they do not count against
    // the retry budget.
    const NextStep next =
        co_await WaitForNewerTable(selection, kOwnerRetryDelay);
    if (next != NextStep::kRetry) {
      co_return next;
    }
  } else if (AcquireRetry()) {
    m_excluded_target = selection.target->id;
  } else {
    co_return Refuse(503, Verdict::kNotRun, reason, kDefaultRetryAfter);
  }
  m_context.metrics.retries().Increment();
  co_return NextStep::kRetry;
}

bool RequestRouter::AcquireRetry() {
  ++m_failed_attempts;
  return m_failed_attempts < kMaxAttempts && m_service->budget().TryTake();
}

RequestRouter::NextStep RequestRouter::HandleTargetFailure(
    const Selection& selection) {
  if (m_request.is_cancelled()) {
    return HandleCancellation();
  }
  if (!m_request.context.idempotent || !m_request.IsReplayable() ||
      !AcquireRetry()) {
    return Refuse(502, Verdict::kMayHaveRun, RefusalReason::kTargetLost);
  }
  m_excluded_target = selection.target->id;
  m_context.metrics.retries().Increment();
  return NextStep::kRetry;
}

RequestRouter::NextStep RequestRouter::HandleCancellation() {
  if (m_request.cancel_reason != CancelReason::kDeadline) {
    m_outcome.verdict =
        m_request.may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
    m_outcome.close = true;
    return NextStep::kDone;
  }
  if (std::chrono::steady_clock::now() < m_request.deadline) {
    // The body idle timeout has expired.
    m_request.keep_alive = false;
    return Refuse(408, Verdict::kNotRun, RefusalReason::kSlowCaller);
  }
  return Refuse(504, Verdict::kNotRun, RefusalReason::kDeadline);
}

Task<RequestRouter::NextStep> RequestRouter::WaitForNewerTable(
    const Selection& selection,
    Milliseconds max_wait) {
  const bool waited = co_await m_context.table_watcher.Wait(
      m_request, selection.table->offset,
      std::chrono::steady_clock::now() + max_wait);
  if (waited) {
    co_return NextStep::kRetry;
  }
  const bool keyed = m_service->config().keyed;
  co_return Refuse(503, Verdict::kNotRun,
                   keyed ? RefusalReason::kNoOwner : RefusalReason::kNoTarget,
                   kDefaultRetryAfter);
}

RequestRouter::NextStep RequestRouter::Refuse(int status,
                                              Verdict verdict,
                                              RefusalReason reason,
                                              Milliseconds retry_after) {
  // An earlier attempt may have run, so the response must not say "not run".
  if (m_request.may_have_run && verdict == Verdict::kNotRun) {
    verdict = Verdict::kMayHaveRun;
    if (status == 503 || status == 429) {
      status = 502;
    }
  }
  m_outcome.verdict = verdict;
  m_outcome.reply = LocalReply{status, verdict, reason, retry_after};
  return NextStep::kDone;
}

RequestRouter::NextStep RequestRouter::RefuseAdmission(
    AdmissionOutcome outcome,
    const AdmissionQueue& queue) {
  const Milliseconds retry_after = queue.RetryAfter(m_class_index);
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
