#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "coordination/admission_controller.h"
#include "coordination/concurrency_limit.h"
#include "transport/active_request.h"

namespace snipehall {

// Admission control for one service, or for one owner of a keyed
// service. Combines the queue, the limit on running requests and the coroutines
// that wait for a slot.
class AdmissionQueue : public std::enable_shared_from_this<AdmissionQueue> {
 public:
  // The slot of an admitted request. The destructor releases it and starts
  // waiting requests.
  class Slot {
   public:
    Slot(std::shared_ptr<AdmissionQueue> queue,
         std::size_t class_index,
         MonotonicTime started)
        : m_queue(std::move(queue)),
          m_class_index(class_index),
          m_started(started) {}
    ~Slot();
    Slot(Slot&&) noexcept = default;
    Slot& operator=(Slot&&) = delete;

    // Records that the target was overloaded or refused the request, which
    // may lower the concurrency limit.
    void set_target_overloaded(bool target_overloaded) {
      m_target_overloaded = target_overloaded;
    }

   private:
    std::shared_ptr<AdmissionQueue> m_queue;
    std::size_t m_class_index;
    MonotonicTime m_started;
    bool m_target_overloaded = false;
  };

  // `total_slots` is the number of slots at the targets, which `instances`
  // instances share. Fails if the service's classes or the numbers are invalid.
  static Result<std::shared_ptr<AdmissionQueue>> Create(
      const ServiceConfig& service,
      std::span<const TenantConfig> tenants,
      int total_slots,
      int instances);

  AdmissionQueue(AdmissionController admission, ConcurrencyLimit limit);

  // Applies a changed number of slots or instances and starts waiting requests.
  void Resize(int total_slots, int instances);

  // Offers the request for admission. If the result is kWait, its
  // `queue_state` is kWaiting until it is started or its deadline expires; its
  // event is then notified. A Slot must be created for each started request.
  AdmissionOutcome Admit(MonotonicTime now,
                         ActiveRequest& request,
                         std::size_t class_index);

  // Removes a waiting request from the queue.
  void CancelWait(ActiveRequest& request);

  // Estimated time until the class can accept a refused request.
  Milliseconds RetryAfter(std::size_t class_index) const {
    return m_admission.RetryAfter(class_index);
  }
  // Number of waiting requests of the class.
  int waiting(std::size_t class_index) const {
    return m_admission.waiting(class_index);
  }
  // Returns whether no request is running.
  bool IsIdle() const;

 private:
  void Finish(std::size_t class_index,
              MonotonicTime started,
              bool target_overloaded);
  void StartWaitingRequests(MonotonicTime now);

  AdmissionController m_admission;
  ConcurrencyLimit m_limit;
  // Expired requests; reused to avoid allocations.
  std::vector<Ticket> m_expired;
};

}  // namespace snipehall
