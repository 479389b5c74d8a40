#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "state/types.h"

namespace snipehall {

// The entry of a target in the platform's list of targets.
struct ListedTarget {
  TargetId id;
  ServiceName service;
  ZoneName zone;
  // "address:port" with an IP address, not a host name.
  std::string address;
  // Maximum number of requests that the target runs concurrently.
  int slots = 1;
  // The target is shutting down and gets no new requests.
  bool draining = false;
  // The target's zone is evacuated; it counts as draining until the zone is
  // taken back.
  bool evacuated = false;
  // Start time of the target's process, milliseconds since the Unix epoch;
  // distinguishes restarts under the same id. Zero when the target does not
  // report it.
  std::int64_t start_time_ms = 0;
  // Sequence number, since the start of the process, of the report by which the
  // target wrote this entry.
  std::uint64_t report_sequence = 0;
  // End of the target's warm-up after a cold start; it is slower until then.
  // The epoch when it is not warming up.
  MonotonicTime warmup_until;

  bool operator==(const ListedTarget&) const = default;
};

// The listed targets by id.
using TargetList = std::map<TargetId, ListedTarget, std::less<>>;

}  // namespace snipehall
