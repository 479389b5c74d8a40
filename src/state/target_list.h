#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "state/types.h"

namespace snipehall {

// A target as the platform's list of instances describes it.
struct ListedTarget {
  TargetId id;
  ServiceName service;
  ZoneName zone;
  // "address:port", an IP number and not a name.
  std::string address;
  // Number of requests that it runs concurrently.
  int slots = 1;
  // The target is shutting down and gets no new requests.
  bool draining = false;
  // Start time of the target's process, milliseconds since the Unix epoch;
  // distinguishes restarts under the same id. Zero when the target does not
  // report it.
  std::int64_t start_time_ms = 0;
  // Sequence number of the target's report since its start.
  std::uint64_t report_sequence = 0;
  // End of the target's warm-up after a cold start; it is slower until then.
  MonotonicTime warmup_until;

  bool operator==(const ListedTarget&) const = default;
};

using TargetList = std::map<TargetId, ListedTarget, std::less<>>;

}  // namespace snipehall
