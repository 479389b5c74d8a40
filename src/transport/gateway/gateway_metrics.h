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

// Prometheus metrics of a gateway: request counters, latency histograms, event
// counters and gauges.
class GatewayMetrics {
 public:
  GatewayMetrics();

  // Counts a request by route and outcome, and adds its latency in seconds to
  // the route's histogram.
  void RecordRequest(std::string_view route,
                     std::string_view outcome,
                     double seconds);
  // Adds the delay with which the event loop handled a timer, in seconds, to
  // its histogram.
  void RecordEventLoopDelay(double seconds);
  // Increments the counter of `event`, for events other than requests.
  void IncrementEvent(std::string_view event);
  // Sets the gauge `name`.
  void SetGauge(std::string_view name, double value);

  // All metrics in the Prometheus text exposition format.
  std::string SerializeText() const;

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Family<prometheus::Histogram>& m_request_seconds;
  prometheus::Family<prometheus::Histogram>& m_event_loop_delay;
  prometheus::Family<prometheus::Counter>& m_events;
  prometheus::Family<prometheus::Gauge>& m_values;
};

}  // namespace snipehall
