#include "transport/control_metrics.h"

#include <utility>

namespace snipehall {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Registry;

Family<Counter>& AddFamily(Registry& registry,
                           const char* name,
                           const char* help) {
  return BuildCounter().Name(name).Help(help).Register(registry);
}

Counter& AddCounter(Registry& registry, const char* name, const char* help) {
  return AddFamily(registry, name, help).Add({});
}

Gauge& AddGauge(Registry& registry, const char* name, const char* help) {
  return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

ControlMetrics::ControlMetrics(std::shared_ptr<Registry> registry)
    : m_registry(registry ? std::move(registry) : std::make_shared<Registry>()),
      m_messages(AddFamily(*m_registry,
                           "snipehall_control_messages_sent_total",
                           "Control messages sent, by kind.")),
      m_bytes(AddFamily(*m_registry,
                        "snipehall_control_http_bytes_total",
                        "Bytes of control messages over HTTP.")),
      m_reads(AddFamily(*m_registry,
                        "snipehall_log_reads_total",
                        "Reads of the platform's log.")),
      m_orders(AddFamily(*m_registry,
                         "snipehall_lease_answers_total",
                         "Outcomes of lease orders and status queries.")),
      lease_orders(m_messages.Add({{"kind", "lease_order"}})),
      status_queries(m_messages.Add({{"kind", "status_query"}})),
      heartbeats(m_messages.Add({{"kind", "heartbeat"}})),
      record_fetches(m_messages.Add({{"kind", "record_fetch"}})),
      appends(m_messages.Add({{"kind", "append"}})),
      bytes_sent(m_bytes.Add({{"direction", "sent"}})),
      bytes_received(m_bytes.Add({{"direction", "received"}})),
      reads_succeeded(m_reads.Add({{"outcome", "answered"}})),
      reads_failed(m_reads.Add({{"outcome", "failed"}})),
      leases_extended(m_orders.Add({{"outcome", "extended"}})),
      leases_refused(m_orders.Add({{"outcome", "refused"}})),
      target_failures(m_orders.Add({{"outcome", "failed"}})),
      range_sets_granted(AddCounter(*m_registry,
                                    "snipehall_range_sets_granted_total",
                                    "Range sets that targets accepted.")),
      link_messages_dropped(
          AddCounter(*m_registry,
                     "snipehall_link_messages_dropped_total",
                     "Messages to or from the links that found a full ring.")),
      confirmation_age(AddGauge(*m_registry,
                                "snipehall_confirmation_age_seconds",
                                "Age of the confirmation of the state.")),
      log_reachable(AddGauge(*m_registry,
                             "snipehall_log_reachable",
                             "One while the platform's log answers.")),
      log_offset(AddGauge(*m_registry,
                          "snipehall_log_offset",
                          "Offset of the last record folded.")) {}

}  // namespace snipehall
