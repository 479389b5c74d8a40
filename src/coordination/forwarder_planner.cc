#include "coordination/forwarder_planner.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace snipehall {

void ForwarderPlanner::OnReport(
    MonotonicTime now,
    std::string_view address,
    std::string_view zone,
    std::set<ServiceName, std::less<>> cut_off_services) {
  auto instance = m_instances.find(address);
  if (instance == m_instances.end()) {
    instance = m_instances.emplace(address, Instance()).first;
  }
  instance->second = {ZoneName(zone), std::move(cut_off_services), now};
}

void ForwarderPlanner::Remove(std::string_view address) {
  const auto instance = m_instances.find(address);
  if (instance != m_instances.end()) {
    m_instances.erase(instance);
  }
}

std::vector<std::string> ForwarderPlanner::Choose(MonotonicTime now,
                                                  std::string_view address,
                                                  std::string_view zone,
                                                  std::string_view service) {
  std::erase_if(m_instances, [now](const auto& item) {
    return now >= item.second.reported_at + kReportTimeout;
  });
  std::size_t zone_size = 0;
  std::vector<std::string_view> in_zone;
  std::vector<std::string_view> in_all_zones;
  for (const auto& [other, instance] : m_instances) {
    const bool is_local = instance.zone == zone;
    zone_size += is_local ? 1 : 0;
    if (other == address || instance.cut_off_services.contains(service)) {
      continue;
    }
    in_all_zones.push_back(other);
    if (is_local) {
      in_zone.push_back(other);
    }
  }
  const bool use_zone = !in_zone.empty() && 2 * in_zone.size() >= zone_size;
  const auto& candidates = use_zone ? in_zone : in_all_zones;
  std::vector<std::string_view> chosen;
  std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen),
              kMaxForwarders, m_random);
  std::shuffle(chosen.begin(), chosen.end(), m_random);
  return {chosen.begin(), chosen.end()};
}

}  // namespace snipehall
