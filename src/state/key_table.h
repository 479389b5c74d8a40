#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/types.h"

namespace snipehall {

// The key of a request: a number that its caller gives.
using KeyNumber = std::uint32_t;
inline constexpr KeyNumber kLastKey = 65535;

// Orders one target a fencing token; each change of owner has a greater one.
using FenceToken = std::uint64_t;

// A range of keys with its owner.
struct KeyAssignment {
  KeyNumber first = 0;
  // Inclusive.
  KeyNumber last = kLastKey;
  TargetId owner;
  // Process of the owner that was given the keys; see ListedTarget::born_ms.
  std::int64_t owner_born_ms = 0;
  FenceToken fence = 0;
  // The owner before, while it may still hold the keys; empty once the keys
  // are the owner's.
  TargetId previous;

  bool moving() const { return !previous.empty(); }
  std::uint32_t size() const { return last - first + 1; }

  bool operator==(const KeyAssignment&) const = default;
};

// Who owns which keys of which service, and which instance gives the orders.
// Each change is one conditional append to the log, so that versions form one
// sequence.
struct KeyTable {
  // The instance that orders the targets; see KeyLead.
  InstanceId lead;
  // Counts the changes of lead.
  std::uint64_t term = 0;
  // "address:port" where the lead takes reports of load.
  std::string lead_address;
  // Greatest fencing token that was used.
  FenceToken fence = 0;
  // Ordered by range, without gap or overlap.
  std::map<ServiceName, std::vector<KeyAssignment>, std::less<>> services;

  // The assignment of `key`, or null.
  const KeyAssignment* Find(std::string_view service, KeyNumber key) const;

  bool operator==(const KeyTable&) const = default;
};

}  // namespace snipehall
