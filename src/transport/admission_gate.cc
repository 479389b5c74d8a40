#include "transport/admission_gate.h"

#include <boost/outcome/try.hpp>
#include <utility>

namespace snipehall {

namespace {

// Requests are identified by their addresses, which are unique while they wait.
Ticket TicketOf(ActiveRequest& request) {
  return reinterpret_cast<Ticket>(&request);
}

void Settle(Ticket ticket, QueueState state) {
  auto* request =
      reinterpret_cast<ActiveRequest*>(ticket);  // NOLINT(performance-*)
  request->queue_state = state;
  request->event.Notify();
}

}  // namespace

AdmissionGate::Slot::~Slot() {
  if (m_gate) {
    m_gate->Finish(m_class_index, m_started, m_queued);
  }
}

Result<std::shared_ptr<AdmissionGate>> AdmissionGate::Create(
    const ServiceConfig& service,
    std::span<const TenantConfig> tenants,
    int total_slots,
    int instances) {
  BOOST_OUTCOME_TRY(Admission admission, Admission::Create(service, tenants));
  BOOST_OUTCOME_TRY(ConcurrencyLimit limit,
                    ConcurrencyLimit::Create(total_slots, instances));
  return std::make_shared<AdmissionGate>(std::move(admission), limit);
}

AdmissionGate::AdmissionGate(Admission admission, ConcurrencyLimit limit)
    : m_admission(std::move(admission)), m_limit(limit) {
  m_admission.SetLimit(m_limit.limit());
}

void AdmissionGate::Resize(int total_slots, int instances) {
  m_limit.Resize(total_slots, instances);
  m_admission.SetLimit(m_limit.limit());
  StartWaiting(std::chrono::steady_clock::now());
}

AdmissionOutcome AdmissionGate::Offer(MonotonicTime now,
                                      ActiveRequest& request,
                                      std::size_t class_index) {
  const AdmissionOutcome outcome =
      m_admission.Offer(now, TicketOf(request), class_index,
                        request.context.tenant, request.deadline);
  request.queue_state = outcome == AdmissionOutcome::kWait
                            ? QueueState::kWaiting
                            : QueueState::kNone;
  return outcome;
}

void AdmissionGate::Withdraw(ActiveRequest& request) {
  m_admission.Remove(TicketOf(request));
  request.queue_state = QueueState::kNone;
}

bool AdmissionGate::IsUnused() const {
  return m_admission.running() == 0;
}

void AdmissionGate::Finish(std::size_t class_index,
                           MonotonicTime started,
                           bool queued) {
  const MonotonicTime now = std::chrono::steady_clock::now();
  m_limit.OnAnswered(now, m_admission.running(), queued);
  m_admission.Finish(class_index, now - started);
  m_admission.SetLimit(m_limit.limit());
  StartWaiting(now);
}

void AdmissionGate::StartWaiting(MonotonicTime now) {
  m_expired.clear();
  while (const auto ticket = m_admission.Next(now, m_expired)) {
    Settle(*ticket, QueueState::kStarted);
  }
  for (const Ticket ticket : m_expired) {
    Settle(ticket, QueueState::kExpired);
  }
}

}  // namespace snipehall
