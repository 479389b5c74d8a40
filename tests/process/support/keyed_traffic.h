#pragma once

#include <string>
#include <vector>

#include "process/support/cluster.h"
#include "process/support/traffic.h"

namespace snipehall::test {

// The keyed service of the failure tests.
inline constexpr const char* kKeyedService = "gearshelf";

// One zone with `instances` entry instances and `targets` targets of the keyed
// service.
ClusterOptions KeyedCluster(int instances, int targets);

// Key of a number from 0 to kKeyCount - 1.
inline constexpr std::uint64_t kKeyCount = 100;
std::string KeyOf(std::uint64_t number);

// Requests that may not be repeated, over all keys in turn, until stopped.
// Their deadline is short, so that a caller does not spend the time of a
// takeover waiting for one key while others could be served.
TrafficOptions KeyedTraffic(std::vector<std::string> addresses,
                            const std::string& id_prefix);

// Longest time for which a key had no right answer, over all keys.
std::chrono::milliseconds LongestGap(const TrafficReport& report);

// Waits until `count` more right answers have come and `at_least` has passed,
// for example the time in which a lease would lapse. Throws when the answers do
// not come in time.
void AwaitRight(const Traffic& traffic,
                std::uint64_t count,
                std::chrono::milliseconds at_least = {});

}  // namespace snipehall::test
