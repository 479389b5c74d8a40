#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace snipehall {

// Counters and latency histograms of a gateway.
class GatewayMetrics {
 public:
  GatewayMetrics();

  // Requests by route and how they ended; also their latency.
  void NoteRequest(std::string_view route,
                   std::string_view outcome,
                   double seconds);
  // Events that are no requests, by name.
  void Count(std::string_view event);
  void Set(std::string_view name, double value);

  // All metrics in Prometheus' text format.
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Family<prometheus::Histogram>& m_seconds;
  prometheus::Family<prometheus::Counter>& m_events;
  prometheus::Family<prometheus::Gauge>& m_values;
};

}  // namespace snipehall
