#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/types.h"
#include "state/verdict.h"

namespace snipehall {

// Why the instance answered a request itself.
enum class RefusalReason {
  kMalformed,
  kUnknownService,
  kTooLarge,
  kSlowCaller,
  kQueueFull,
  kTooLate,
  kOverShare,
  kNoOwner,
  kNoTarget,
  kNotReady,
  kTargetRefused,
  kTargetLost,
  kDeadline,
};
inline constexpr std::size_t kRefusalReasons = 13;

// Value of the `reason` label and text of the answer.
std::string_view ToString(RefusalReason reason);

// Metrics of the data thread. Handles are looked up once for each combination
// of labels and then kept.
class DataMetrics {
 public:
  // Tenants beyond this number are counted as "other": each one costs a
  // histogram per class.
  static constexpr std::size_t kTenantLabelLimit = 200;

  explicit DataMetrics(std::shared_ptr<prometheus::Registry> registry);

  // Time from the head of a request to the end of its answer.
  prometheus::Histogram& Latency(std::string_view service,
                                 std::string_view tenant,
                                 std::string_view request_class);
  prometheus::Counter& Requests(Verdict verdict) {
    return *m_verdicts[static_cast<std::size_t>(verdict)];
  }
  prometheus::Counter& Refusals(RefusalReason reason) {
    return *m_refusals[static_cast<std::size_t>(reason)];
  }
  prometheus::Counter& retries() { return *m_retries; }
  prometheus::Gauge& QueueLength(std::string_view service,
                                 std::string_view request_class);
  prometheus::Gauge& caller_connections() { return *m_caller_connections; }
  prometheus::Gauge& target_connections_in_use() { return *m_target_in_use; }
  prometheus::Gauge& target_connections_idle() { return *m_target_idle; }

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
  prometheus::Family<prometheus::Histogram>* m_latency_family = nullptr;
  prometheus::Family<prometheus::Gauge>* m_queue_family = nullptr;
  std::array<prometheus::Counter*, 3> m_verdicts = {};
  std::array<prometheus::Counter*, kRefusalReasons> m_refusals = {};
  prometheus::Counter* m_retries = nullptr;
  prometheus::Gauge* m_caller_connections = nullptr;
  prometheus::Gauge* m_target_in_use = nullptr;
  prometheus::Gauge* m_target_idle = nullptr;
  std::set<std::string, std::less<>> m_tenants;
  // By "service\0tenant\0class" with the tenant's label.
  std::unordered_map<std::string, prometheus::Histogram*> m_latencies;
  std::unordered_map<std::string, prometheus::Gauge*> m_queues;
  // Reused for look-ups.
  std::string m_key;
};

}  // namespace snipehall
