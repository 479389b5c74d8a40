#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "state/types.h"

namespace snipehall {

// A target as the platform lists it.
struct ListedTarget {
  TargetId id;
  ServiceName service;
  ZoneName zone;
  // "address:port", an IP number and not a name.
  std::string address;
  // Requests that it runs at a time.
  int slots = 1;
  // It ends soon and gets no new work.
  bool leaving = false;
  // Start of the target's process, milliseconds since the Unix epoch; tells a
  // restart under the same id. Zero when the target does not say.
  std::int64_t born_ms = 0;
  // Counts what the target reported since its start.
  std::uint64_t report = 0;
  // The target is slow until then.
  MonotonicTime cold_until;

  bool operator==(const ListedTarget&) const = default;
};

using TargetList = std::map<TargetId, ListedTarget, std::less<>>;

}  // namespace snipehall
