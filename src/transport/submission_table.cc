#include "transport/submission_table.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace snipehall {
namespace {

// Offset of the version in force of what `record` replaces: the assignment of a
// service, the members of a group or the configuration. 0 if there is none.
LogOffset CurrentVersion(const ClusterState& state, const Record& record) {
  if (const auto* assignment = std::get_if<AssignmentRecord>(&record.body)) {
    const ServiceAssignment* current =
        state.FindAssignment(assignment->service);
    return current == nullptr ? 0 : current->version;
  }
  if (const auto* members = std::get_if<MembersRecord>(&record.body)) {
    const GroupMembers* current = state.FindGroup(members->group);
    return current == nullptr ? 0 : current->version;
  }
  const ConfigurationEntry* current = state.configuration();
  return current == nullptr ? 0 : current->offset;
}

}  // namespace

bool SubmissionTable::Add(std::string_view id,
                          MonotonicTime deadline,
                          Callback callback) {
  if (m_pending.size() >= kMaxSubmissions) {
    return false;
  }
  return m_pending
      .try_emplace(std::string(id),
                   PendingSubmission{deadline, std::move(callback)})
      .second;
}

bool SubmissionTable::ContainsPending(std::span<const LogEntry> entries) const {
  return !m_pending.empty() &&
         std::any_of(
             entries.begin(), entries.end(), [this](const LogEntry& entry) {
               return entry.record && m_pending.contains(entry.record->id);
             });
}

std::vector<SubmissionTable::Completion> SubmissionTable::CompleteApplied(
    const ClusterState& state,
    std::span<const LogEntry> entries) {
  std::vector<Completion> completions;
  if (!ContainsPending(entries)) {
    return completions;
  }
  ClusterState applied_state = state;
  for (const LogEntry& entry : entries) {
    // The controller does not apply entries after a gap yet either.
    if (entry.offset != applied_state.offset() + 1) {
      continue;
    }
    if (!entry.record) {
      applied_state.Skip(entry.offset);
      continue;
    }
    const ApplyOutcome outcome =
        applied_state.Apply(entry.offset, *entry.record);
    auto found = m_pending.find(entry.record->id);
    if (found != m_pending.end()) {
      completions.push_back(
          {std::move(found->second.callback),
           SubmitOutcome{outcome, entry.offset,
                         CurrentVersion(applied_state, *entry.record)}});
      m_pending.erase(found);
    }
  }
  return completions;
}

std::vector<SubmissionTable::Completion> SubmissionTable::Reject(
    std::string_view id,
    const Error& error) {
  std::vector<Completion> completions;
  const auto found = m_pending.find(id);
  if (found != m_pending.end()) {
    completions.push_back({std::move(found->second.callback), error});
    m_pending.erase(found);
  }
  return completions;
}

std::vector<SubmissionTable::Completion> SubmissionTable::Expire(
    MonotonicTime now,
    const std::function<bool(std::string_view id)>& may_be_appended) {
  std::vector<Completion> completions;
  for (auto entry = m_pending.begin(); entry != m_pending.end();) {
    if (entry->second.deadline > now) {
      ++entry;
      continue;
    }
    completions.push_back(
        {std::move(entry->second.callback),
         Fail(ErrorCode::kTimeout,
              may_be_appended(entry->first)
                  ? "the log did not show the record in time; it may still "
                    "take effect"
                  : "the log could not be reached; the record was not sent")});
    entry = m_pending.erase(entry);
  }
  return completions;
}

void SubmissionTable::Report(std::span<const Completion> completions) {
  for (const Completion& completion : completions) {
    completion.callback(completion.outcome);
  }
}

}  // namespace snipehall
