#include "transport/gateway/gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace snipehall {

namespace {

// Upper bounds of the latency histogram's buckets.
const prometheus::Histogram::BucketBoundaries kLatencyBucketsSeconds = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5};

}  // namespace

GatewayMetrics::GatewayMetrics()
    : m_registry(std::make_shared<prometheus::Registry>()),
      m_requests(prometheus::BuildCounter()
                     .Name("snipehall_gateway_requests_total")
                     .Help("Requests by route and outcome")
                     .Register(*m_registry)),
      m_request_seconds(prometheus::BuildHistogram()
                            .Name("snipehall_gateway_request_seconds")
                            .Help("Time from a request's head to its answer")
                            .Register(*m_registry)),
      m_event_loop_delay(
          prometheus::BuildHistogram()
              .Name("snipehall_gateway_event_loop_delay_seconds")
              .Help("Delay with which the event loop handles timers")
              .Register(*m_registry)),
      m_events(prometheus::BuildCounter()
                   .Name("snipehall_gateway_events_total")
                   .Help("Events by name")
                   .Register(*m_registry)),
      m_values(prometheus::BuildGauge()
                   .Name("snipehall_gateway_value")
                   .Help("Current values by name")
                   .Register(*m_registry)) {}

void GatewayMetrics::RecordRequest(std::string_view route,
                                   std::string_view outcome,
                                   double seconds) {
  const std::string name(route);
  m_requests.Add({{"route", name}, {"outcome", std::string(outcome)}})
      .Increment();
  m_request_seconds.Add({{"route", name}}, kLatencyBucketsSeconds)
      .Observe(seconds);
}

void GatewayMetrics::RecordEventLoopDelay(double seconds) {
  m_event_loop_delay.Add({}, kLatencyBucketsSeconds).Observe(seconds);
}

void GatewayMetrics::IncrementEvent(std::string_view event) {
  m_events.Add({{"event", std::string(event)}}).Increment();
}

void GatewayMetrics::SetGauge(std::string_view name, double value) {
  m_values.Add({{"name", std::string(name)}}).Set(value);
}

std::string GatewayMetrics::SerializeText() const {
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}  // namespace snipehall
