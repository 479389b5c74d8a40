#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/configuration.h"
#include "state/hash_range.h"
#include "state/types.h"

namespace snipehall {

// Assigns `range` to `owner`, whose lease is renewed by the members of `group`.
struct OwnerChange {
  HashRange range;
  TargetId owner;
  GroupId group;

  bool operator==(const OwnerChange&) const = default;
};

// Replaces the configuration. Accepted when `based_on` is the offset of the
// configuration in force.
struct ConfigurationRecord {
  Configuration configuration;
  std::string reason;
  // Wall-clock time of publication, milliseconds since the epoch. For display
  // only.
  std::int64_t time_ms = 0;

  bool operator==(const ConfigurationRecord&) const = default;
};

// Changes the owners of ranges of a service. Accepted when `based_on` is the
// version of the service's assignment.
struct AssignmentRecord {
  ServiceName service;
  std::vector<OwnerChange> changes;

  bool operator==(const AssignmentRecord&) const = default;
};

// Replaces the members of a group. Accepted when `based_on` is the version of
// its members.
struct MembersRecord {
  GroupId group;
  std::vector<InstanceId> members;

  bool operator==(const MembersRecord&) const = default;
};

// A range of a service's hash space and the target that owns it.
struct OwnedRange {
  HashRange range;
  TargetId owner;
  GroupId group;
  // Fencing token: offset of the record that assigned the range to the owner.
  LogOffset token = 0;
  // Other groups whose targets owned a part of the range before. They must have
  // read the log up to `token` before the owner may be granted the range.
  std::vector<GroupId> former_groups;

  bool operator==(const OwnedRange&) const = default;
};

// The owners of all assigned ranges of a service.
struct ServiceAssignment {
  ServiceName service;
  LogOffset version = 0;
  // Ordered by range; ranges do not overlap.
  std::vector<OwnedRange> ranges;

  // Returns the range that contains `hash`, or null.
  const OwnedRange* Find(std::uint64_t hash) const;

  bool operator==(const ServiceAssignment&) const = default;
};

// The instances that renew the leases of a group's targets.
struct GroupMembers {
  GroupId group;
  LogOffset version = 0;
  std::vector<InstanceId> members;
  // Members before the last change. Moving a range also needs a majority of
  // these.
  std::vector<InstanceId> previous_members;

  bool operator==(const GroupMembers&) const = default;
};

// A configuration that was accepted, with its record's offset and author.
struct ConfigurationEntry {
  LogOffset offset = 0;
  std::string author;
  std::string reason;
  std::int64_t time_ms = 0;
  Configuration configuration;

  bool operator==(const ConfigurationEntry&) const = default;
};

// The whole ClusterState at an offset. Only a reader without state applies it.
struct SnapshotRecord {
  // Offset of the last record that the state includes.
  LogOffset covers = 0;
  // Ordered by offset; at most `ClusterState::kHistoryLimit` entries.
  std::vector<ConfigurationEntry> history;
  std::vector<ServiceAssignment> assignments;
  std::vector<GroupMembers> groups;

  bool operator==(const SnapshotRecord&) const = default;
};

// A record of the log.
struct Record {
  // Unique id. Shows whether an append took effect when its response was lost.
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
