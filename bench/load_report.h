#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "load_scenario.h"

namespace snipehall::bench {

enum class RequestEnd {
  kCompleted,    // The whole answer, and the right one.
  kRefused,      // Answered as not run.
  kMayHaveRun,   // Answered or broken off with an unknown outcome.
  kWrongAnswer,  // An answer to another request, or a short one.
};

// What became of one request. Times in seconds after the start.
struct RequestSample {
  double intended_s = 0;
  double latency_s = 0;
  std::size_t stream = 0;
  bool is_long = false;
  bool in_deadline = false;
  RequestEnd end = RequestEnd::kMayHaveRun;
};

// Collects samples and sums them up. Percentiles are exact: all samples are
// kept, at 48 bytes each.
class LoadReport {
 public:
  void Add(const RequestSample& sample) { m_samples.push_back(sample); }

  // Counts and latencies for the whole run, each stream (short and long work
  // apart) and each second. Latencies in milliseconds, from the intended start.
  boost::json::object ToJson(const LoadScenario& scenario) const;

 private:
  std::vector<RequestSample> m_samples;
};

}  // namespace snipehall::bench
