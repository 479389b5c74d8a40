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
  kWait,       // Queued; Next() will return its ticket, or expire it.
  kQueueFull,  // Refused: too many requests of its class are waiting.
  kTooLate,    // Refused: it would not be answered by its deadline.
  kOverShare,  // Refused: its tenant has its share of the queue already.
};

// Decides which requests run, wait or are refused, for one service or, for a
// keyed service, for one owner.
//
// Each class may use the shared slots and those reserved for it, so that long
// requests of one class leave the reserved slots of others free. Waiting
// requests of a class are started in weighted turns of their tenants. A request
// that is not expected to be answered by its deadline is refused when it
// arrives, before it has cost anything.
class Admission {
 public:
  static Result<Admission> Create(const ServiceConfig& service,
                                  std::span<const TenantConfig> tenants);

  // Sets how many requests may run at the same time, over all classes.
  void SetLimit(int limit);

  AdmissionOutcome Offer(MonotonicTime now,
                         Ticket ticket,
                         std::size_t class_index,
                         std::string_view tenant,
                         MonotonicTime deadline);

  // A started request of the class ended after `service_time`.
  void Finish(std::size_t class_index, MonotonicTime::duration service_time);

  // The next waiting request to start, or nothing when no slot is free or none
  // waits. Requests whose deadline has passed are appended to `expired`.
  std::optional<Ticket> Next(MonotonicTime now, std::vector<Ticket>& expired);

  // Removes a waiting request, for example when its caller has left. False
  // when it does not wait.
  bool Remove(Ticket ticket);

  // Time after which a refused caller may expect room.
  Milliseconds RetryAfter(std::size_t class_index) const;

  int running(std::size_t class_index) const {
    return m_classes[class_index].running;
  }
  int waiting(std::size_t class_index) const {
    return m_classes[class_index].waiting;
  }
  int running() const { return m_running; }

 private:
  struct Waiting {
    Ticket ticket = 0;
    MonotonicTime deadline;
  };

  struct TenantQueue {
    std::string name;
    int weight = 1;
    // Requests that the tenant may still start in this turn.
    int credit = 0;
    std::deque<Waiting> requests;
  };

  struct ClassState {
    int reserved_percent = 0;
    int queue_limit = 0;
    int running = 0;
    int waiting = 0;
    // Moving averages of the time at the target and of its deviation, seconds.
    double mean_s = 0;
    double deviation_s = 0;
    std::vector<TenantQueue> queues;
    // Index of the tenant whose turn it is.
    std::size_t turn = 0;
  };

  explicit Admission(const ServiceConfig& service,
                     std::span<const TenantConfig> tenants);

  // Slots that the class may use when no other class runs.
  int ClassLimit(const ClassState& entry) const;
  int Reserved(const ClassState& entry) const;
  bool HasSlot(const ClassState& entry) const;
  double ExpectedWaitSeconds(const ClassState& entry) const;
  TenantQueue& QueueOf(ClassState& entry, std::string_view tenant);
  std::optional<Ticket> NextOfClass(MonotonicTime now,
                                    ClassState& entry,
                                    std::vector<Ticket>& expired);

  int m_limit = 1;
  int m_running = 0;
  std::vector<ClassState> m_classes;
  std::vector<TenantConfig> m_tenants;
  // Class that Next() looks at first.
  std::size_t m_class_turn = 0;
};

}  // namespace snipehall
