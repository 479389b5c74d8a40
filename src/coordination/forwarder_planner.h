#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "state/types.h"

namespace snipehall {

// Chooses instances that serve the requests for a service in the place of an
// instance which reaches none of its targets. The leader uses it, with the
// reports that it receives.
class ForwarderPlanner {
 public:
  // An instance that has not reported for this long, three report intervals, is
  // not chosen.
  static constexpr Milliseconds kReportTimeout{1200};
  // Maximum number of instances that are chosen for one.
  static constexpr std::size_t kMaxForwarders = 3;

  explicit ForwarderPlanner(std::uint64_t seed) : m_random(seed) {}

  // Call for each report of an instance, which listens for other instances at
  // `address` and reaches no target of `cut_off_services`.
  void OnReport(MonotonicTime now,
                std::string_view address,
                std::string_view zone,
                std::set<ServiceName, std::less<>> cut_off_services);
  // Call when the instance does not serve others any more.
  void Remove(std::string_view address);

  // Returns the addresses of instances that can serve requests for `service` in
  // the place of the one at `address`, in random order: of its availability
  // zone `zone` if at least half of that zone can, otherwise of all zones.
  std::vector<std::string> Choose(MonotonicTime now,
                                  std::string_view address,
                                  std::string_view zone,
                                  std::string_view service);

 private:
  struct Instance {
    ZoneName zone;
    std::set<ServiceName, std::less<>> cut_off_services;
    MonotonicTime reported_at;
  };

  std::mt19937_64 m_random;
  std::map<std::string, Instance, std::less<>> m_instances;
};

}  // namespace snipehall
