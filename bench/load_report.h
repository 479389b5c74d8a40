#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "load_scenario.h"

namespace snipehall::bench {

// How a request ended, as seen by the client.
enum class RequestOutcome {
  kCompleted,    // Complete answer to this request.
  kRefused,      // Answered with the verdict "not-run".
  kMayHaveRun,   // Connection error, timeout or another error answer.
  kWrongAnswer,  // Answer without the request's id.
};

// Result of one request. Times are in seconds; the intended start is relative
// to the start of the run.
struct RequestSample {
  double intended_s = 0;
  double latency_s = 0;
  std::size_t stream = 0;
  bool is_long = false;
  bool met_deadline = false;
  RequestOutcome outcome = RequestOutcome::kMayHaveRun;
};

// Collects samples and summarizes them. Percentiles are exact, since all
// samples are kept, at 48 bytes each.
class LoadReport {
 public:
  void Add(const RequestSample& sample) { m_samples.push_back(sample); }

  // Returns counts and latency percentiles for the whole run, for each stream
  // (short and long requests separately) and for each second of the run.
  // Latencies are in milliseconds from the intended start.
  boost::json::object ToJson(const LoadScenario& scenario) const;

 private:
  std::vector<RequestSample> m_samples;
};

}  // namespace snipehall::bench
