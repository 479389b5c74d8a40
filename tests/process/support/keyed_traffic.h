#pragma once

#include <string>
#include <vector>

#include "process/support/cluster.h"
#include "process/support/traffic.h"

namespace snipehall::test {

// Name of the keyed service that the failure tests use.
inline constexpr const char* kKeyedService = "gearshelf";

// Options for one zone with `instances` instances and `targets` targets of the
// keyed service.
ClusterOptions KeyedClusterOptions(int instances, int targets);

// Number of different keys in the requests of KeyedTrafficOptions().
inline constexpr std::uint64_t kKeyCount = 100;
// Returns the key with a number from 0 to kKeyCount - 1.
std::string KeyFromNumber(std::uint64_t number);

// Options for non-repeatable requests that cycle through all keys until
// Traffic::Stop(). Their deadline is short (300 ms), so that during a takeover
// a connection does not wait for one key while other keys could be served.
TrafficOptions KeyedTrafficOptions(std::vector<std::string> addresses,
                                   const std::string& id_prefix);

// Longest time without a correct response for any key.
std::chrono::milliseconds LongestGap(const TrafficReport& report);

// Waits until `count` more correct responses were received and at least
// `at_least` has passed, for example the time after which a lease would expire.
// Throws TestFailure if this takes 20 s longer than `at_least`.
void AwaitCorrectResponses(const Traffic& traffic,
                           std::uint64_t count,
                           std::chrono::milliseconds at_least = {});

}  // namespace snipehall::test
