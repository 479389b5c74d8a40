#include "transport/data_metrics.h"

#include <utility>

namespace snipehall {

namespace {

constexpr std::array<std::string_view, kRefusalReasonCount> kReasonNames = {
    "malformed",  "unknown_service", "too_large",      "slow_caller",
    "queue_full", "too_late",        "over_share",     "no_owner",
    "no_target",  "not_ready",       "target_refused", "target_lost",
    "deadline"};

// Histogram bounds in seconds, from half a millisecond (a local response over
// an established connection) to the longest deadline.
prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.0005, 0.001, 0.002, 0.005, 0.009, 0.015, 0.025, 0.05,
          0.1,    0.25,  0.5,   1,     2.5,   10,    60,    600};
}

void BuildKey(std::string_view service,
              std::string_view tenant,
              std::string_view request_class,
              std::string& key) {
  key.assign(service).push_back('\0');
  key.append(tenant).push_back('\0');
  key.append(request_class);
}

}  // namespace

std::string_view ToString(RefusalReason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

DataMetrics::DataMetrics(std::shared_ptr<prometheus::Registry> registry)
    : m_registry(std::move(registry)) {
  m_latency_family =
      &prometheus::BuildHistogram()
           .Name("snipehall_request_seconds")
           .Help("Time from a request's head to the end of its answer")
           .Register(*m_registry);
  m_queue_family = &prometheus::BuildGauge()
                        .Name("snipehall_queue_length")
                        .Help("Requests that wait for a slot")
                        .Register(*m_registry);
  auto& requests = prometheus::BuildCounter()
                       .Name("snipehall_requests_total")
                       .Help("Requests by verdict")
                       .Register(*m_registry);
  for (const Verdict verdict :
       {Verdict::kRan, Verdict::kNotRun, Verdict::kMayHaveRun}) {
    m_requests[static_cast<std::size_t>(verdict)] =
        &requests.Add({{"verdict", std::string(ToString(verdict))}});
  }
  auto& refusals = prometheus::BuildCounter()
                       .Name("snipehall_refusals_total")
                       .Help("Answers of the instance's own by reason")
                       .Register(*m_registry);
  for (std::size_t i = 0; i < kRefusalReasonCount; ++i) {
    m_refusals[i] = &refusals.Add({{"reason", std::string(kReasonNames[i])}});
  }
  m_retries = &prometheus::BuildCounter()
                   .Name("snipehall_retries_total")
                   .Help("Attempts after the first one of a request")
                   .Register(*m_registry)
                   .Add({});
  auto& connections = prometheus::BuildGauge()
                          .Name("snipehall_connections")
                          .Help("Open connections by kind")
                          .Register(*m_registry);
  m_caller_connections = &connections.Add({{"kind", "caller"}});
  m_target_in_use = &connections.Add({{"kind", "target_in_use"}});
  m_target_idle = &connections.Add({{"kind", "target_idle"}});
}

prometheus::Histogram& DataMetrics::Latency(std::string_view service,
                                            std::string_view tenant,
                                            std::string_view request_class) {
  BuildKey(service, tenant, request_class, m_key_buffer);
  const auto found = m_latencies.find(m_key_buffer);
  if (found != m_latencies.end()) {
    return *found->second;
  }
  if (m_tenants.find(tenant) == m_tenants.end()) {
    if (m_tenants.size() >= kMaxTenantLabels) {
      tenant = "other";
      BuildKey(service, tenant, request_class, m_key_buffer);
    } else {
      m_tenants.emplace(tenant);
    }
  }
  auto& entry = m_latencies[m_key_buffer];
  if (entry == nullptr) {
    entry = &m_latency_family->Add({{"service", std::string(service)},
                                    {"tenant", std::string(tenant)},
                                    {"class", std::string(request_class)}},
                                   LatencyBuckets());
  }
  return *entry;
}

prometheus::Gauge& DataMetrics::QueueLength(std::string_view service,
                                            std::string_view request_class) {
  BuildKey(service, {}, request_class, m_key_buffer);
  auto& entry = m_queues[m_key_buffer];
  if (entry == nullptr) {
    entry = &m_queue_family->Add({{"service", std::string(service)},
                                  {"class", std::string(request_class)}});
  }
  return *entry;
}

}  // namespace snipehall
