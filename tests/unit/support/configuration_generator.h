#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "state/configuration.h"

namespace snipehall::testing {

// Generates a random name. Names with different indices are distinct.
inline std::string DrawName(std::size_t index) {
  const auto suffix = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("abcXYZ019._-")));
  return "n" + std::to_string(index) + "-" + suffix.substr(0, 20);
}

// Generates ranges that cover the hash space without gaps, each assigned to one
// of `zones`. Returns none if there are no zones.
inline std::vector<KeyRangeConfig> DrawKeyRanges(
    const std::vector<ZoneConfig>& zones) {
  std::vector<KeyRangeConfig> ranges;
  if (zones.empty()) {
    return ranges;
  }
  auto ends =
      *rc::gen::resize(8, rc::gen::container<std::vector<std::uint64_t>>(
                              rc::gen::inRange<std::uint64_t>(0, UINT64_MAX)));
  ends.push_back(UINT64_MAX);
  std::sort(ends.begin(), ends.end());
  ends.erase(std::unique(ends.begin(), ends.end()), ends.end());
  std::uint64_t first = 0;
  for (const std::uint64_t last : ends) {
    ranges.push_back(
        {{first, last},
         zones[*rc::gen::inRange<std::size_t>(0, zones.size())].name});
    first = last + 1;
  }
  return ranges;
}

inline ServiceConfig DrawService(std::size_t index,
                                 const std::vector<ZoneConfig>& zones) {
  ServiceConfig service;
  service.name = DrawName(index);
  service.keyed = *rc::gen::arbitrary<bool>();
  service.checks_orders = *rc::gen::arbitrary<bool>();
  service.slots_per_endpoint = *rc::gen::inRange(1, 100);
  service.connections_per_endpoint =
      *rc::gen::inRange(service.slots_per_endpoint, 1000);
  if (*rc::gen::arbitrary<bool>()) {
    service.move_after = std::chrono::seconds(*rc::gen::inRange(1, 86401));
  }
  const std::size_t classes = *rc::gen::inRange<std::size_t>(1, 5);
  for (std::size_t i = 0; i < classes; ++i) {
    service.classes.push_back(
        {DrawName(i), Milliseconds(*rc::gen::inRange(1, 600001)),
         *rc::gen::inRange(0, 26), *rc::gen::inRange(0, 100001)});
  }
  service.default_class =
      service.classes[*rc::gen::inRange<std::size_t>(0, classes)].name;
  if (service.keyed) {
    service.key_ranges = DrawKeyRanges(zones);
  }
  return service;
}

// Generates a random document that ValidateConfiguration() accepts.
inline Configuration DrawConfiguration() {
  Configuration configuration;
  const std::size_t zones = *rc::gen::inRange<std::size_t>(0, 5);
  for (std::size_t i = 0; i < zones; ++i) {
    configuration.zones.push_back({DrawName(i), DrawName(0)});
  }
  const std::size_t services = *rc::gen::inRange<std::size_t>(0, 5);
  for (std::size_t i = 0; i < services; ++i) {
    configuration.services.push_back(DrawService(i, configuration.zones));
  }
  const std::size_t tenants = *rc::gen::inRange<std::size_t>(0, 4);
  for (std::size_t i = 0; i < tenants; ++i) {
    configuration.tenants.push_back({DrawName(i), *rc::gen::inRange(1, 1001)});
  }
  const std::size_t plans = *rc::gen::inRange<std::size_t>(0, 4);
  for (std::size_t i = 0; i < plans; ++i) {
    configuration.plans.push_back(
        {*rc::gen::element(PlanKind::kDrain, PlanKind::kStop), DrawName(i)});
  }
  return configuration;
}

}  // namespace snipehall::testing
