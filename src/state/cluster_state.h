#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "state/record.h"
#include "state/types.h"

namespace snipehall {

enum class ApplyOutcome {
  kAccepted,
  kStale,    // Not applied: `based_on` is not the current version.
  kInvalid,  // Not applied: the content is not valid.
  kSkipped,  // A snapshot, ignored because the reader already has state.
};

// Replicated state of the cluster: the result of applying the records of the
// log in order. All instances that have applied the records up to the same
// offset hold equal states. Not thread-safe.
class ClusterState {
 public:
  // Maximum number of configurations in the history.
  static constexpr std::size_t kHistoryLimit = 64;

  ClusterState() = default;

  // Restores a state. Fails with kCorrupt when the history is too long.
  static Result<ClusterState> FromSnapshot(const SnapshotRecord& snapshot);

  // Applies the record at `offset`, which must be greater than `offset()`. A
  // record that is not accepted changes nothing but the offset.
  ApplyOutcome Apply(LogOffset offset, const Record& record);

  // Moves past a record that could not be decoded.
  void Skip(LogOffset offset) { m_offset = offset; }

  // Offset of the last record that was applied, refused or skipped.
  LogOffset offset() const { return m_offset; }

  // The configuration in force, or null before the first one.
  const ConfigurationEntry* configuration() const;

  // Returns the last kHistoryLimit configurations in order of their offsets,
  // the one in force last.
  std::span<const ConfigurationEntry> history() const { return m_history; }

  // These return null when there is no record of the service or group.
  const ServiceAssignment* FindAssignment(std::string_view service) const;
  const GroupMembers* FindGroup(std::string_view group) const;
  const std::map<ServiceName, ServiceAssignment, std::less<>>& assignments()
      const {
    return m_assignments;
  }
  const std::map<GroupId, GroupMembers, std::less<>>& groups() const {
    return m_groups;
  }

  // Returns the whole state at offset().
  SnapshotRecord ToSnapshot() const;

  bool operator==(const ClusterState&) const = default;

 private:
  ApplyOutcome ApplyConfiguration(LogOffset offset,
                                  const Record& record,
                                  const ConfigurationRecord& body);
  ApplyOutcome ApplyAssignment(LogOffset offset,
                               const Record& record,
                               const AssignmentRecord& body);
  ApplyOutcome ApplyMembers(LogOffset offset,
                            const Record& record,
                            const MembersRecord& body);

  LogOffset m_offset = 0;
  std::vector<ConfigurationEntry> m_history;
  std::map<ServiceName, ServiceAssignment, std::less<>> m_assignments;
  std::map<GroupId, GroupMembers, std::less<>> m_groups;
};

}  // namespace snipehall
