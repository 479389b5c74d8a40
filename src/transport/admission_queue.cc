#include "transport/admission_queue.h"

#include <boost/outcome/try.hpp>
#include <utility>

namespace snipehall {

namespace {

// A request is identified by its address, which is unique while it waits.
Ticket TicketOf(ActiveRequest& request) {
  return reinterpret_cast<Ticket>(&request);
}

void CompleteWait(Ticket ticket, QueueState state) {
  auto* request =
      reinterpret_cast<ActiveRequest*>(ticket);  // NOLINT(performance-*)
  request->queue_state = state;
  request->event.Notify();
}

}  // namespace

AdmissionQueue::Slot::~Slot() {
  if (m_queue) {
    m_queue->Finish(m_class_index, m_started, m_target_overloaded);
  }
}

Result<std::shared_ptr<AdmissionQueue>> AdmissionQueue::Create(
    const ServiceConfig& service,
    std::span<const TenantConfig> tenants,
    int total_slots,
    int instances) {
  BOOST_OUTCOME_TRY(AdmissionController admission,
                    AdmissionController::Create(service, tenants));
  BOOST_OUTCOME_TRY(ConcurrencyLimit limit,
                    ConcurrencyLimit::Create(total_slots, instances));
  return std::make_shared<AdmissionQueue>(std::move(admission), limit);
}

AdmissionQueue::AdmissionQueue(AdmissionController admission,
                               ConcurrencyLimit limit)
    : m_admission(std::move(admission)), m_limit(limit) {
  m_admission.SetLimit(m_limit.limit());
}

void AdmissionQueue::Resize(int total_slots, int instances) {
  m_limit.Resize(total_slots, instances);
  m_admission.SetLimit(m_limit.limit());
  StartWaitingRequests(std::chrono::steady_clock::now());
}

AdmissionOutcome AdmissionQueue::Admit(MonotonicTime now,
                                       ActiveRequest& request,
                                       std::size_t class_index) {
  const AdmissionOutcome outcome =
      m_admission.Admit(now, TicketOf(request), class_index,
                        request.context.tenant, request.deadline);
  request.queue_state = outcome == AdmissionOutcome::kWait
                            ? QueueState::kWaiting
                            : QueueState::kNone;
  return outcome;
}

void AdmissionQueue::CancelWait(ActiveRequest& request) {
  m_admission.Remove(TicketOf(request));
  request.queue_state = QueueState::kNone;
}

bool AdmissionQueue::IsIdle() const {
  return m_admission.running() == 0;
}

void AdmissionQueue::Finish(std::size_t class_index,
                            MonotonicTime started,
                            bool target_overloaded) {
  const MonotonicTime now = std::chrono::steady_clock::now();
  m_limit.OnAnswered(now, m_admission.running(), target_overloaded);
  m_admission.Finish(class_index, now - started);
  m_admission.SetLimit(m_limit.limit());
  StartWaitingRequests(now);
}

void AdmissionQueue::StartWaitingRequests(MonotonicTime now) {
  m_expired.clear();
  while (const auto ticket = m_admission.Next(now, m_expired)) {
    CompleteWait(*ticket, QueueState::kStarted);
  }
  for (const Ticket ticket : m_expired) {
    CompleteWait(ticket, QueueState::kExpired);
  }
}

}  // namespace snipehall
