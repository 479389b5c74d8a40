#include "load_report.h"

#include <algorithm>
#include <cmath>

namespace snipehall::bench {

namespace {

namespace json = boost::json;

constexpr double kMsPerSecond = 1000;

// Returns the exact nearest-rank percentile of values in seconds, in
// milliseconds rounded to microseconds; 0 if there are no values. Reorders
// `values`.
double Percentile(std::vector<double>& values, double percent) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(
      std::ceil(percent / 100 * static_cast<double>(values.size())));
  const auto position =
      values.begin() + static_cast<std::ptrdiff_t>(
                           std::clamp<std::size_t>(rank, 1, values.size()) - 1);
  std::nth_element(values.begin(), position, values.end());
  return std::round(*position * kMsPerSecond * 1000) / 1000;
}

template <typename Filter>
json::object Summarize(const std::vector<RequestSample>& samples,
                       Filter filter) {
  std::int64_t outcome_counts[4] = {};
  std::int64_t met_deadline = 0;
  std::vector<double> completed;
  std::vector<double> refused;
  for (const RequestSample& sample : samples) {
    if (!filter(sample)) {
      continue;
    }
    ++outcome_counts[static_cast<int>(sample.outcome)];
    if (sample.outcome == RequestOutcome::kCompleted) {
      met_deadline += sample.met_deadline ? 1 : 0;
      completed.push_back(sample.latency_s);
    } else if (sample.outcome == RequestOutcome::kRefused) {
      refused.push_back(sample.latency_s);
    }
  }
  json::object summary;
  summary["completed"] = outcome_counts[0];
  summary["completed_in_deadline"] = met_deadline;
  summary["refused"] = outcome_counts[1];
  summary["may_have_run"] = outcome_counts[2];
  summary["wrong_answer"] = outcome_counts[3];
  summary["p50_ms"] = Percentile(completed, 50);
  summary["p99_ms"] = Percentile(completed, 99);
  summary["max_ms"] = Percentile(completed, 100);
  summary["refused_p50_ms"] = Percentile(refused, 50);
  summary["refused_p99_ms"] = Percentile(refused, 99);
  return summary;
}

}  // namespace

json::object LoadReport::ToJson(const LoadScenario& scenario) const {
  json::object report;
  report["scenario"] = scenario.name;
  report["all"] =
      Summarize(m_samples, [](const RequestSample&) { return true; });
  json::array streams;
  for (std::size_t i = 0; i < scenario.streams.size(); ++i) {
    json::object stream;
    stream["service"] = scenario.streams[i].service;
    stream["class"] = scenario.streams[i].request_class;
    stream["short"] = Summarize(m_samples, [i](const RequestSample& sample) {
      return sample.stream == i && !sample.is_long;
    });
    stream["long"] = Summarize(m_samples, [i](const RequestSample& sample) {
      return sample.stream == i && sample.is_long;
    });
    streams.push_back(std::move(stream));
  }
  report["streams"] = std::move(streams);
  json::array seconds;
  for (int second = 0; second < scenario.duration_s; ++second) {
    seconds.push_back(
        Summarize(m_samples, [second](const RequestSample& sample) {
          return static_cast<int>(sample.intended_s) == second;
        }));
  }
  report["seconds"] = std::move(seconds);
  return report;
}

}  // namespace snipehall::bench
