#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "state/result.h"
#include "state/types.h"

namespace snipehall::bench {

// Sets the mean arrival rate to `rate` requests per second, from `at_s` seconds
// after the start until the next step.
struct RateStep {
  double at_s = 0;
  double rate = 0;
};

// Stream of requests of one kind. Times are in milliseconds.
struct LoadStream {
  ServiceName service;
  std::string request_class;
  std::string tenant = "default";
  // Weight of this stream relative to the weights of the other streams.
  double share = 1;
  // Number of distinct keys; 0 for a service that is not keyed.
  std::size_t keys = 0;
  // Exponent of the Zipf distribution of the keys; 0 for a uniform
  // distribution.
  double zipf = 0;
  double work_ms = 1;
  // Fraction of the requests whose work takes `long_factor` times as long.
  double long_share = 0;
  double long_factor = 1;
  bool repeatable = true;
  std::int64_t deadline_ms = 1000;
};

// Load to generate: the arrival rate over time and the mix of requests.
struct LoadScenario {
  std::string name;
  double duration_s = 10;
  std::vector<RateStep> steps;
  std::vector<LoadStream> streams;
};

// Parses a scenario from JSON, whose members have the names of the fields above
// ("class" for `request_class`). Fails if the text is malformed or has no steps
// or no streams.
Result<LoadScenario> ParseScenario(std::string_view json);

// Request to send at `at_s` seconds after the start.
struct Arrival {
  double at_s = 0;
  std::size_t stream = 0;
  std::size_t key = 0;
  double work_ms = 0;
  bool is_long = false;
};

// Generates the arrivals of a scenario in order of time, as a Poisson process
// whose rate follows the steps. The same seed gives the same arrivals. The
// scenario must outlive the generator.
class ArrivalGenerator {
 public:
  ArrivalGenerator(const LoadScenario& scenario, std::uint64_t seed);

  // Generates the next arrival. Returns false at the end of the scenario.
  bool Next(Arrival& arrival);

 private:
  double RateAt(double at_s) const;

  const LoadScenario& m_scenario;
  std::mt19937_64 m_random;
  std::discrete_distribution<std::size_t> m_stream_distribution;
  std::vector<std::discrete_distribution<std::size_t>> m_key_distributions;
  double m_now_s = 0;
};

}  // namespace snipehall::bench
