#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "state/types.h"

namespace snipehall {

// The key of a request: a number from 0 to kLastKey that its caller chooses.
using KeyNumber = std::uint32_t;
inline constexpr KeyNumber kLastKey = 65535;

// Fencing token of a range of keys. Each change of owner has a greater one, and
// a target refuses orders with a lower token than it has seen.
using FencingToken = std::uint64_t;

// The era in which a platform's log starts.
inline constexpr LogEra kFirstLogEra = 1;

// Lower bound of the fencing tokens, and of the terms, that are assigned in an
// era of the log. All of them are greater than those of earlier eras, also of
// those in key tables that were lost when the log was restored.
constexpr std::uint64_t EraBase(LogEra era) {
  constexpr int kEraShift = 32;
  return era <= kFirstLogEra ? 0 : (era - kFirstLogEra) << kEraShift;
}

// A range of keys and the target that owns it.
struct KeyAssignment {
  KeyNumber first = 0;
  // Inclusive.
  KeyNumber last = kLastKey;
  TargetId owner;
  // Start time of the owner's process that was assigned the keys; see
  // ListedTarget::start_time_ms.
  std::int64_t owner_start_time_ms = 0;
  FencingToken fencing_token = 0;
  // The former owner until the new owner has been granted the keys, then empty.
  TargetId previous_owner;

  // Whether the keys are still moving from `previous_owner` to `owner`.
  bool moving() const { return !previous_owner.empty(); }
  // Number of keys.
  std::uint32_t size() const { return last - first + 1; }

  bool operator==(const KeyAssignment&) const = default;
};

// The owners of the keys of all services, and the instance that coordinates
// them (the leader). Each change is a new version, appended to the log on
// condition that no other came first, so that all versions form one sequence.
struct KeyTable {
  // The instance that sends the orders to the targets; see KeyLeader.
  InstanceId leader;
  // The process of that instance that began the term, the only one that may act
  // as the leader; zero if an earlier build has written the table.
  Incarnation leader_incarnation = 0;
  // Number of changes of the leader, also to another process of the same
  // instance.
  std::uint64_t term = 0;
  // "address:port" where the leader receives load reports.
  std::string leader_address;
  // Greatest fencing token that has been used.
  FencingToken fencing_token = 0;
  // Era of the log in which this version was made.
  LogEra era = 0;
  // Made from a restored copy of the log by an instance that does not know the
  // versions that were lost, so `services` may not have the present owners.
  bool owners_unknown = false;
  // Ordered by range, without gaps or overlaps.
  std::map<ServiceName, std::vector<KeyAssignment>, std::less<>> services;

  // Returns the assignment of `key`, or null when the service has none.
  const KeyAssignment* Find(std::string_view service, KeyNumber key) const;

  bool operator==(const KeyTable&) const = default;
};

// Returns for each key the assignment with the greater token of the two, and of
// equal tokens the one that has completed its move. Both arguments have the
// ranges of one service, or are empty.
std::vector<KeyAssignment> MergeAssignments(
    std::span<const KeyAssignment> left,
    std::span<const KeyAssignment> right);

// Whether `known` assigns any key with a greater token than `table` does.
bool HasNewerAssignments(const KeyTable& known, const KeyTable& table);

// Merges the assignments of all services of `other` into `table`; see
// MergeAssignments().
void MergeServices(KeyTable& table, const KeyTable& other);

}  // namespace snipehall
