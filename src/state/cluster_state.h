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
  kStale,    // `based_on` is not the current version.
  kInvalid,  // The content breaks a rule.
  kSkipped,  // A snapshot read by an instance that already has state.
};

// The fold of the log. Every instance that has applied the same records up to
// the same offset holds an equal state.
class ClusterState {
 public:
  static constexpr std::size_t kHistoryLimit = 64;

  ClusterState() = default;

  static Result<ClusterState> FromSnapshot(const SnapshotRecord& snapshot);

  // Applies the record at `offset`, which must be greater than `offset()`.
  ApplyOutcome Apply(LogOffset offset, const Record& record);

  // Notes a record that could not be decoded: it changes nothing.
  void Skip(LogOffset offset) { m_offset = offset; }

  // Offset of the last record seen.
  LogOffset offset() const { return m_offset; }

  // The configuration in force, or null before the first one.
  const ConfigurationEntry* configuration() const;

  // Configurations in order of their offsets, the one in force last.
  std::span<const ConfigurationEntry> history() const { return m_history; }

  const ServiceAssignment* FindAssignment(std::string_view service) const;
  const GroupMembers* FindGroup(std::string_view group) const;
  const std::map<ServiceName, ServiceAssignment, std::less<>>& assignments()
      const {
    return m_assignments;
  }
  const std::map<GroupId, GroupMembers, std::less<>>& groups() const {
    return m_groups;
  }

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
