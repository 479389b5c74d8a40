#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/configuration.h"
#include "state/hash_range.h"
#include "state/types.h"

namespace snipehall {

// Gives `range` to `owner`, whose lease is extended by the members of `group`.
struct OwnerChange {
  HashRange range;
  TargetId owner;
  GroupId group;

  bool operator==(const OwnerChange&) const = default;
};

// Accepted when `based_on` is the offset of the configuration in force.
struct ConfigurationRecord {
  Configuration configuration;
  std::string reason;
  // Wall-clock time of publication, milliseconds since the epoch. For display
  // only.
  std::int64_t time_ms = 0;

  bool operator==(const ConfigurationRecord&) const = default;
};

// Accepted when `based_on` is the service's assignment version.
struct AssignmentRecord {
  ServiceName service;
  std::vector<OwnerChange> changes;

  bool operator==(const AssignmentRecord&) const = default;
};

// Accepted when `based_on` is the group's members version.
struct MembersRecord {
  GroupId group;
  std::vector<InstanceId> members;

  bool operator==(const MembersRecord&) const = default;
};

// One range of a service with its owner.
struct OwnedRange {
  HashRange range;
  TargetId owner;
  GroupId group;
  // Offset of the record that gave the range to the owner.
  LogOffset token = 0;
  // Other groups whose targets owned part of the range before. They have to
  // read `token` before the owner may be granted the range.
  std::vector<GroupId> former_groups;

  bool operator==(const OwnedRange&) const = default;
};

struct ServiceAssignment {
  ServiceName service;
  LogOffset version = 0;
  // Ordered by range; ranges do not overlap.
  std::vector<OwnedRange> ranges;

  const OwnedRange* Find(std::uint64_t hash) const;

  bool operator==(const ServiceAssignment&) const = default;
};

struct GroupMembers {
  GroupId group;
  LogOffset version = 0;
  std::vector<InstanceId> members;
  // Members before the last change. A move also needs a majority of them.
  std::vector<InstanceId> previous_members;

  bool operator==(const GroupMembers&) const = default;
};

struct ConfigurationEntry {
  LogOffset offset = 0;
  std::string author;
  std::string reason;
  std::int64_t time_ms = 0;
  Configuration configuration;

  bool operator==(const ConfigurationEntry&) const = default;
};

// The folded state, whole. Only a reader without state uses the record.
struct SnapshotRecord {
  LogOffset covers = 0;
  // Newest last; at most `ClusterState::kHistoryLimit` entries.
  std::vector<ConfigurationEntry> history;
  std::vector<ServiceAssignment> assignments;
  std::vector<GroupMembers> groups;

  bool operator==(const SnapshotRecord&) const = default;
};

// A record of the log.
struct Record {
  // Unique; settles whether an append whose reply was lost took effect.
  std::string id;
  std::string author;
  LogOffset based_on = 0;
  std::variant<ConfigurationRecord,
               AssignmentRecord,
               MembersRecord,
               SnapshotRecord>
      body;

  bool operator==(const Record&) const = default;
};

}  // namespace snipehall
