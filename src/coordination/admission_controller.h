#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/types.h"

namespace snipehall {

// Identifies a request to its admission controller.
using Ticket = std::uint64_t;

enum class AdmissionOutcome {
  kStart,      // Send it now.
  kWait,       // Queued; Next() will return its ticket or add it to `expired`.
  kQueueFull,  // Refused: too many requests of its class are waiting.
  kTooLate,    // Refused: it is not expected to be answered by its deadline.
  kOverShare,  // Refused: its tenant already has its share of the queue.
};

// Decides which requests run, wait or are refused, for one service or, for a
// keyed service, for one owner of keys.
//
// Each class may use the shared slots and those reserved for it, so that long
// requests of one class leave the reserved slots of others free. Waiting
// requests of a class are started by weighted round robin of their tenants. A
// request that is not expected to be answered by its deadline is refused when
// it arrives, before it uses a slot.
class AdmissionController {
 public:
  // Fails with kInvalidArgument when the service has no class.
  static Result<AdmissionController> Create(
      const ServiceConfig& service,
      std::span<const TenantConfig> tenants);

  // Sets how many requests may run at the same time, over all classes.
  void SetLimit(int limit);

  // Decides on a new request. After kStart, call Finish() when it has ended;
  // after kWait, call Next() until it returns the ticket.
  AdmissionOutcome Admit(MonotonicTime now,
                         Ticket ticket,
                         std::size_t class_index,
                         std::string_view tenant,
                         MonotonicTime deadline);

  // Call when a started request of the class ended, `service_time` after its
  // start.
  void Finish(std::size_t class_index, MonotonicTime::duration service_time);

  // Returns the next waiting request to start, or nothing when no slot is free
  // or no request waits. Requests whose deadline has passed are removed and
  // appended to `expired`. Call it until it returns nothing after each Finish()
  // and SetLimit().
  std::optional<Ticket> Next(MonotonicTime now, std::vector<Ticket>& expired);

  // Removes a waiting request, for example when its caller has disconnected.
  // Returns false when it is not waiting.
  bool Remove(Ticket ticket);

  // Returns the time after which a refused caller should retry, at least 1 ms.
  Milliseconds RetryAfter(std::size_t class_index) const;

  int running(std::size_t class_index) const {
    return m_classes[class_index].running;
  }
  int waiting(std::size_t class_index) const {
    return m_classes[class_index].waiting;
  }
  int running() const { return m_running; }

 private:
  struct WaitingRequest {
    Ticket ticket = 0;
    MonotonicTime deadline;
  };

  struct TenantQueue {
    std::string name;
    int weight = 1;
    // Requests that the tenant may still start in this round.
    int credit = 0;
    std::deque<WaitingRequest> requests;
  };

  struct ClassState {
    int reserved_percent = 0;
    int queue_limit = 0;
    int running = 0;
    int waiting = 0;
    // Exponential moving averages of the service time and of its absolute
    // deviation, seconds.
    double mean_s = 0;
    double deviation_s = 0;
    std::vector<TenantQueue> queues;
    // Number of the queue that is served now, modulo the number of queues.
    std::size_t current_queue = 0;
  };

  explicit AdmissionController(const ServiceConfig& service,
                               std::span<const TenantConfig> tenants);

  // Returns the slots that the class may use when no other class runs.
  int ClassLimit(const ClassState& entry) const;
  // Returns the slots that are reserved for the class.
  int ReservedSlots(const ClassState& entry) const;
  // Whether the class may start another request now.
  bool HasSlot(const ClassState& entry) const;
  double ExpectedWaitSeconds(const ClassState& entry) const;
  // Returns the queue of the tenant, created when needed.
  TenantQueue& QueueOf(ClassState& entry, std::string_view tenant);
  std::optional<Ticket> DequeueFromClass(MonotonicTime now,
                                         ClassState& entry,
                                         std::vector<Ticket>& expired);

  int m_limit = 1;
  int m_running = 0;
  std::vector<ClassState> m_classes;
  std::vector<TenantConfig> m_tenants;
  // Index of the class that Next() tries first.
  std::size_t m_next_class = 0;
};

}  // namespace snipehall
