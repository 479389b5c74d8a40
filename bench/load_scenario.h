#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "state/result.h"
#include "state/types.h"

namespace snipehall::bench {

// From `at_s` seconds after the start on, `rate` requests a second arrive.
struct LoadStep {
  double at_s = 0;
  double rate = 0;
};

// One kind of request. Times in milliseconds.
struct LoadStream {
  ServiceName service;
  std::string request_class;
  std::string tenant = "default";
  // Part of all requests, relative to the shares of the other streams.
  double share = 1;
  // Number of different keys; 0 for a service that is not keyed.
  std::size_t keys = 0;
  double zipf = 0;
  double work_ms = 1;
  // Part of the requests that take `long_factor` times as long.
  double long_share = 0;
  double long_factor = 1;
  bool repeatable = true;
  std::int64_t deadline_ms = 1000;
};

struct LoadScenario {
  std::string name;
  double duration_s = 10;
  std::vector<LoadStep> steps;
  std::vector<LoadStream> streams;
};

// Reads a scenario; the JSON members are the fields above.
Result<LoadScenario> ParseScenario(std::string_view json);

// A request that is due at `at_s` seconds after the start.
struct Arrival {
  double at_s = 0;
  std::size_t stream = 0;
  std::size_t key = 0;
  double work_ms = 0;
  bool is_long = false;
};

// Draws the arrivals of a scenario in order of time: a Poisson process whose
// rate follows the steps. The same seed gives the same arrivals.
class ArrivalGenerator {
 public:
  ArrivalGenerator(const LoadScenario& scenario, std::uint64_t seed);

  // False after the end of the scenario.
  bool Next(Arrival& arrival);

 private:
  double RateAt(double at_s) const;

  const LoadScenario& m_scenario;
  std::mt19937_64 m_random;
  std::discrete_distribution<std::size_t> m_streams;
  std::vector<std::discrete_distribution<std::size_t>> m_keys;
  double m_now_s = 0;
};

}  // namespace snipehall::bench
