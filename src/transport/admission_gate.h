#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "coordination/admission.h"
#include "coordination/concurrency_limit.h"
#include "transport/active_request.h"

namespace snipehall {

// Admission of the requests of a service that is not keyed, or of those for
// one owner of a keyed service: the queue, the limit of running requests, and
// the coroutines that wait.
class AdmissionGate : public std::enable_shared_from_this<AdmissionGate> {
 public:
  // A started request. Destruction frees its slot.
  class Slot {
   public:
    Slot(std::shared_ptr<AdmissionGate> gate,
         std::size_t class_index,
         MonotonicTime started)
        : m_gate(std::move(gate)),
          m_class_index(class_index),
          m_started(started) {}
    ~Slot();
    Slot(Slot&&) noexcept = default;
    Slot& operator=(Slot&&) = delete;

    // The target reported more work than slots, or refused the request.
    void set_queued(bool queued) { m_queued = queued; }

   private:
    std::shared_ptr<AdmissionGate> m_gate;
    std::size_t m_class_index;
    MonotonicTime m_started;
    bool m_queued = false;
  };

  static Result<std::shared_ptr<AdmissionGate>> Create(
      const ServiceConfig& service,
      std::span<const TenantConfig> tenants,
      int total_slots,
      int instances);

  AdmissionGate(Admission admission, ConcurrencyLimit limit);

  void Resize(int total_slots, int instances);

  // Offers the request. With kWait its `queue_state` is kWaiting until it is
  // started or expired and its event notified.
  AdmissionOutcome Offer(MonotonicTime now,
                         ActiveRequest& request,
                         std::size_t class_index);

  // Takes a waiting request out of the queue.
  void Withdraw(ActiveRequest& request);

  Milliseconds RetryAfter(std::size_t class_index) const {
    return m_admission.RetryAfter(class_index);
  }
  int waiting(std::size_t class_index) const {
    return m_admission.waiting(class_index);
  }
  bool IsUnused() const;

 private:
  void Finish(std::size_t class_index, MonotonicTime started, bool queued);
  void StartWaiting(MonotonicTime now);

  Admission m_admission;
  ConcurrencyLimit m_limit;
  std::vector<Ticket> m_expired;
};

}  // namespace snipehall
