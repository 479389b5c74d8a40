#include "coordination/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace snipehall {

namespace {

// Weight of a new measurement in the moving averages.
constexpr double kAverageWeight = 0.05;

// The expected response time of a request is its wait plus the mean service
// time plus this many deviations. With two, few admitted requests use a slot
// and still miss their deadline.
constexpr double kDeadlineDeviations = 2;

// A tenant may use this multiple of its weighted share of a class's queue.
// Above one, so that a queue with few active tenants is still well used.
constexpr double kQueueShareFactor = 2;

// Maximum number of tenant queues, since callers choose the names. Beyond it,
// queues without waiting requests are removed; if none is empty, new tenants
// share the last queue.
constexpr std::size_t kMaxTenantQueues = 256;

double Seconds(MonotonicTime::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Result<AdmissionController> AdmissionController::Create(
    const ServiceConfig& service,
    std::span<const TenantConfig> tenants) {
  if (service.classes.empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                "service '" + service.name + "' has no class");
  }
  return AdmissionController(service, tenants);
}

AdmissionController::AdmissionController(const ServiceConfig& service,
                                         std::span<const TenantConfig> tenants)
    : m_tenants(tenants.begin(), tenants.end()) {
  for (const ClassConfig& config : service.classes) {
    ClassState entry;
    entry.reserved_percent = config.reserved_slots_percent;
    entry.queue_limit = config.queue_limit;
    m_classes.push_back(std::move(entry));
  }
}

void AdmissionController::SetLimit(int limit) {
  m_limit = std::max(1, limit);
}

AdmissionOutcome AdmissionController::Admit(MonotonicTime now,
                                            Ticket ticket,
                                            std::size_t class_index,
                                            std::string_view tenant,
                                            MonotonicTime deadline) {
  ClassState& entry = m_classes[class_index];
  if (now >= deadline) {
    return AdmissionOutcome::kTooLate;
  }
  if (entry.waiting == 0 && HasSlot(entry)) {
    ++entry.running;
    ++m_running;
    return AdmissionOutcome::kStart;
  }
  if (entry.waiting >= entry.queue_limit) {
    return AdmissionOutcome::kQueueFull;
  }
  const double answer_s =
      entry.mean_s + kDeadlineDeviations * entry.deviation_s;
  if (ExpectedWaitSeconds(entry) + answer_s > Seconds(deadline - now)) {
    return AdmissionOutcome::kTooLate;
  }
  TenantQueue& queue = QueueOf(entry, tenant);
  int weights = 0;
  for (const TenantQueue& other : entry.queues) {
    weights += other.requests.empty() && &other != &queue ? 0 : other.weight;
  }
  const double share = static_cast<double>(entry.queue_limit) * queue.weight /
                       std::max(1, weights);
  if (static_cast<double>(queue.requests.size()) >=
      std::max(1.0, kQueueShareFactor * share)) {
    return AdmissionOutcome::kOverShare;
  }
  queue.requests.push_back({ticket, deadline});
  ++entry.waiting;
  return AdmissionOutcome::kWait;
}

void AdmissionController::Finish(std::size_t class_index,
                                 MonotonicTime::duration service_time) {
  ClassState& entry = m_classes[class_index];
  entry.running = std::max(0, entry.running - 1);
  m_running = std::max(0, m_running - 1);
  const double seconds = Seconds(service_time);
  if (entry.mean_s == 0) {
    entry.mean_s = seconds;
    return;
  }
  const double difference = seconds - entry.mean_s;
  entry.mean_s += kAverageWeight * difference;
  entry.deviation_s +=
      kAverageWeight * (std::abs(difference) - entry.deviation_s);
}

std::optional<Ticket> AdmissionController::Next(MonotonicTime now,
                                                std::vector<Ticket>& expired) {
  for (std::size_t i = 0; i < m_classes.size(); ++i) {
    const std::size_t index = (m_next_class + i) % m_classes.size();
    ClassState& entry = m_classes[index];
    if (!HasSlot(entry)) {
      continue;
    }
    if (const auto ticket = DequeueFromClass(now, entry, expired)) {
      m_next_class = (index + 1) % m_classes.size();
      ++entry.running;
      ++m_running;
      return ticket;
    }
  }
  return std::nullopt;
}

std::optional<Ticket> AdmissionController::DequeueFromClass(
    MonotonicTime now,
    ClassState& entry,
    std::vector<Ticket>& expired) {
  while (entry.waiting > 0) {
    TenantQueue& queue =
        entry.queues[entry.current_queue % entry.queues.size()];
    if (queue.requests.empty() || queue.credit == 0) {
      ++entry.current_queue;
      TenantQueue& next =
          entry.queues[entry.current_queue % entry.queues.size()];
      next.credit = next.weight;
      continue;
    }
    const WaitingRequest request = queue.requests.front();
    queue.requests.pop_front();
    --entry.waiting;
    if (request.deadline <= now) {
      expired.push_back(request.ticket);
      continue;
    }
    --queue.credit;
    return request.ticket;
  }
  return std::nullopt;
}

bool AdmissionController::Remove(Ticket ticket) {
  for (ClassState& entry : m_classes) {
    for (TenantQueue& queue : entry.queues) {
      const auto found =
          std::find_if(queue.requests.begin(), queue.requests.end(),
                       [ticket](const WaitingRequest& item) {
                         return item.ticket == ticket;
                       });
      if (found != queue.requests.end()) {
        queue.requests.erase(found);
        --entry.waiting;
        return true;
      }
    }
  }
  return false;
}

Milliseconds AdmissionController::RetryAfter(std::size_t class_index) const {
  const double wait_s = ExpectedWaitSeconds(m_classes[class_index]);
  return Milliseconds(std::max<std::int64_t>(1, std::llround(wait_s * 1000)));
}

int AdmissionController::ReservedSlots(const ClassState& entry) const {
  return m_limit * entry.reserved_percent / 100;
}

int AdmissionController::ClassLimit(const ClassState& entry) const {
  int reserved_by_others = 0;
  for (const ClassState& other : m_classes) {
    reserved_by_others += &other == &entry ? 0 : ReservedSlots(other);
  }
  return std::max(1, m_limit - reserved_by_others);
}

bool AdmissionController::HasSlot(const ClassState& entry) const {
  // Unused slots that are reserved for other classes must stay free.
  int held_for_others = 0;
  for (const ClassState& other : m_classes) {
    if (&other != &entry) {
      held_for_others += std::max(0, ReservedSlots(other) - other.running);
    }
  }
  if (m_running + held_for_others < m_limit) {
    return true;
  }
  // With few slots the reservations may leave none to a class. One request at a
  // time then prevents its starvation while slots are free.
  return entry.running == 0 && m_running < m_limit;
}

double AdmissionController::ExpectedWaitSeconds(const ClassState& entry) const {
  return entry.mean_s * (entry.waiting + 1) / ClassLimit(entry);
}

AdmissionController::TenantQueue& AdmissionController::QueueOf(
    ClassState& entry,
    std::string_view tenant) {
  const auto found = std::find_if(
      entry.queues.begin(), entry.queues.end(),
      [tenant](const TenantQueue& queue) { return queue.name == tenant; });
  if (found != entry.queues.end()) {
    return *found;
  }
  if (entry.queues.size() >= kMaxTenantQueues) {
    std::erase_if(entry.queues, [](const TenantQueue& queue) {
      return queue.requests.empty();
    });
  }
  if (entry.queues.size() >= kMaxTenantQueues) {
    return entry.queues.back();
  }
  TenantQueue queue;
  queue.name = tenant;
  const auto config = std::find_if(
      m_tenants.begin(), m_tenants.end(),
      [tenant](const TenantConfig& item) { return item.name == tenant; });
  queue.weight = config == m_tenants.end() ? 1 : std::max(1, config->weight);
  queue.credit = queue.weight;
  entry.queues.push_back(std::move(queue));
  return entry.queues.back();
}

}  // namespace snipehall
