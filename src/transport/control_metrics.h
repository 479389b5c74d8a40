#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <memory>

namespace snipehall {

// Counters and gauges of the control thread.
class ControlMetrics {
 public:
  // Adds the metrics to `registry`, or to one of its own when it is null.
  explicit ControlMetrics(std::shared_ptr<prometheus::Registry> registry);

 private:
  // Before the references into it.
  std::shared_ptr<prometheus::Registry> m_registry;
  prometheus::Family<prometheus::Counter>& m_messages;
  prometheus::Family<prometheus::Counter>& m_bytes;
  prometheus::Family<prometheus::Counter>& m_reads;
  prometheus::Family<prometheus::Counter>& m_orders;

 public:
  // Messages sent, by kind.
  prometheus::Counter& lease_orders;
  prometheus::Counter& status_queries;
  prometheus::Counter& heartbeats;
  prometheus::Counter& record_fetches;
  prometheus::Counter& appends;

  // Bytes of control messages over HTTP.
  prometheus::Counter& bytes_sent;
  prometheus::Counter& bytes_received;

  // Reads of the log.
  prometheus::Counter& reads_answered;
  prometheus::Counter& reads_failed;

  // Answers to lease orders.
  prometheus::Counter& leases_extended;
  prometheus::Counter& leases_refused;
  prometheus::Counter& target_failures;
  // Orders with a range set that a target accepted.
  prometheus::Counter& range_sets_granted;

  // Messages between control and links that found their ring full.
  prometheus::Counter& link_messages_dropped;

  // Age of the confirmation of the folded state, in seconds.
  prometheus::Gauge& confirmation_age;
  // One while the log answers, else zero.
  prometheus::Gauge& log_reachable;
  prometheus::Gauge& log_offset;
};

}  // namespace snipehall
