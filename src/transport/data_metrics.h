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

// Why this instance generated the response to a request itself.
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
inline constexpr std::size_t kRefusalReasonCount = 13;

// Returns the value of the `reason` label, which is also the text of the
// response body.
std::string_view ToString(RefusalReason reason);

// Prometheus metrics of the data thread. Caches the metric of each combination
// of labels.
class DataMetrics {
 public:
  // Maximum number of tenant label values, since each tenant adds one histogram
  // per service and class. Further tenants are counted as "other".
  static constexpr std::size_t kMaxTenantLabels = 200;

  explicit DataMetrics(std::shared_ptr<prometheus::Registry> registry);

  // Time from the head of a request to the end of its response, in seconds.
  prometheus::Histogram& Latency(std::string_view service,
                                 std::string_view tenant,
                                 std::string_view request_class);
  prometheus::Counter& Requests(Verdict verdict) {
    return *m_requests[static_cast<std::size_t>(verdict)];
  }
  prometheus::Counter& Refusals(RefusalReason reason) {
    return *m_refusals[static_cast<std::size_t>(reason)];
  }
  // Attempts after the first one of a request.
  prometheus::Counter& retries() { return *m_retries; }
  // Requests that wait for a slot.
  prometheus::Gauge& QueueLength(std::string_view service,
                                 std::string_view request_class);
  prometheus::Gauge& caller_connections() { return *m_caller_connections; }
  prometheus::Gauge& target_connections_in_use() { return *m_target_in_use; }
  prometheus::Gauge& target_connections_idle() { return *m_target_idle; }

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
  prometheus::Family<prometheus::Histogram>* m_latency_family = nullptr;
  prometheus::Family<prometheus::Gauge>* m_queue_family = nullptr;
  std::array<prometheus::Counter*, 3> m_requests = {};
  std::array<prometheus::Counter*, kRefusalReasonCount> m_refusals = {};
  prometheus::Counter* m_retries = nullptr;
  prometheus::Gauge* m_caller_connections = nullptr;
  prometheus::Gauge* m_target_in_use = nullptr;
  prometheus::Gauge* m_target_idle = nullptr;
  std::set<std::string, std::less<>> m_tenants;
  // Keyed by "service\0tenant\0class", where the tenant is its label value.
  std::unordered_map<std::string, prometheus::Histogram*> m_latencies;
  std::unordered_map<std::string, prometheus::Gauge*> m_queues;
  // Buffer for lookup keys, reused to avoid allocations.
  std::string m_key_buffer;
};

}  // namespace snipehall
