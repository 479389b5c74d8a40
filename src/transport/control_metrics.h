#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <memory>

namespace snipehall {

// Prometheus counters and gauges of the control thread.
class ControlMetrics {
 public:
  // Registers the metrics with `registry`, or with a private registry when it
  // is null.
  explicit ControlMetrics(std::shared_ptr<prometheus::Registry> registry);

 private:
  // Declared before the references to families that it owns.
  std::shared_ptr<prometheus::Registry> m_registry;
  prometheus::Family<prometheus::Counter>& m_messages;
  prometheus::Family<prometheus::Counter>& m_bytes;
  prometheus::Family<prometheus::Counter>& m_reads;
  prometheus::Family<prometheus::Counter>& m_orders;

 public:
  // Control messages sent, by kind.
  prometheus::Counter& lease_orders;
  prometheus::Counter& status_queries;
  prometheus::Counter& heartbeats;
  prometheus::Counter& record_fetches;
  prometheus::Counter& appends;

  // Bytes of control messages that were sent and received over HTTP.
  prometheus::Counter& bytes_sent;
  prometheus::Counter& bytes_received;

  // Reads of the platform's log, by outcome.
  prometheus::Counter& reads_succeeded;
  prometheus::Counter& reads_failed;

  // Outcomes of lease orders; `target_failures` also counts failed status
  // queries.
  prometheus::Counter& leases_extended;
  prometheus::Counter& leases_refused;
  prometheus::Counter& target_failures;
  // Lease orders with a set of ranges that a target accepted.
  prometheus::Counter& range_sets_granted;

  // Messages between the control thread and the link thread that were dropped
  // because a queue was full.
  prometheus::Counter& link_messages_dropped;

  // Seconds since the replicated state was last confirmed as current.
  prometheus::Gauge& confirmation_age;
  // 1 if the last read of the log succeeded, otherwise 0.
  prometheus::Gauge& log_reachable;
  // Offset of the last record that was applied.
  prometheus::Gauge& log_offset;
};

}  // namespace snipehall
