#include "transport/submission_table.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace snipehall {
namespace {

// Offset of the version that `record` would have replaced.
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
  if (m_waiting.size() >= kLimit) {
    return false;
  }
  return m_waiting
      .try_emplace(std::string(id), Waiting{deadline, std::move(callback)})
      .second;
}

bool SubmissionTable::ConcernsAny(std::span<const LogEntry> entries) const {
  return !m_waiting.empty() &&
         std::any_of(
             entries.begin(), entries.end(), [this](const LogEntry& entry) {
               return entry.record && m_waiting.contains(entry.record->id);
             });
}

std::vector<SubmissionTable::Completion> SubmissionTable::Observe(
    const ClusterState& state,
    std::span<const LogEntry> entries) {
  std::vector<Completion> completions;
  if (!ConcernsAny(entries)) {
    return completions;
  }
  ClusterState folded = state;
  for (const LogEntry& entry : entries) {
    // Entries beyond a gap are not folded yet either.
    if (entry.offset != folded.offset() + 1) {
      continue;
    }
    if (!entry.record) {
      folded.Skip(entry.offset);
      continue;
    }
    const ApplyOutcome outcome = folded.Apply(entry.offset, *entry.record);
    auto found = m_waiting.find(entry.record->id);
    if (found != m_waiting.end()) {
      completions.push_back(
          {std::move(found->second.callback),
           SubmitOutcome{outcome, entry.offset,
                         CurrentVersion(folded, *entry.record)}});
      m_waiting.erase(found);
    }
  }
  return completions;
}

std::vector<SubmissionTable::Completion> SubmissionTable::Reject(
    std::string_view id,
    const Error& error) {
  std::vector<Completion> completions;
  const auto found = m_waiting.find(id);
  if (found != m_waiting.end()) {
    completions.push_back({std::move(found->second.callback), error});
    m_waiting.erase(found);
  }
  return completions;
}

std::vector<SubmissionTable::Completion> SubmissionTable::Expire(
    MonotonicTime now,
    const std::function<bool(std::string_view id)>& may_be_appended) {
  std::vector<Completion> completions;
  for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
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
    entry = m_waiting.erase(entry);
  }
  return completions;
}

void SubmissionTable::Report(std::span<const Completion> completions) {
  for (const Completion& completion : completions) {
    completion.callback(completion.outcome);
  }
}

}  // namespace snipehall
