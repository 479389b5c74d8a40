#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "state/route_policy.h"

namespace snipehall {

// Divides the requests of each route among its services by weight. Smooth
// weighted round robin: every run of requests is close to the weights, which
// random choice reaches only in the long run.
class ServiceSplit {
 public:
  explicit ServiceSplit(std::uint64_t seed) : m_random(seed) {}

  const ServiceName& Next(const Route& route);

 private:
  struct State {
    std::vector<WeightedService> services;
    std::vector<std::int64_t> credits;
  };

  State NewState(const Route& route);

  std::mt19937_64 m_random;
  std::map<std::string, State, std::less<>> m_states;
};

}  // namespace snipehall
