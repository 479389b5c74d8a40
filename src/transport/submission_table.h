#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/messages.h"
#include "state/cluster_state.h"
#include "transport/control_service.h"

namespace snipehall {

// Records that operators submitted and that have not been read back from the
// log yet, with the callbacks that report their outcomes. Functions that end
// submissions return completions, which the caller passes to Report() after it
// has updated its own state.
class SubmissionTable {
 public:
  using Callback = ControlService::SubmitCallback;

  // Maximum number of pending submissions.
  static constexpr std::size_t kMaxSubmissions = 64;

  // The outcome of a submission, to be reported with Report().
  struct Completion {
    Callback callback;
    Result<SubmitOutcome> outcome;
  };

  // Adds the submission of the record `id`. Returns false if too many
  // submissions are pending or this one already is.
  bool Add(std::string_view id, MonotonicTime deadline, Callback callback);

  // Applies `entries` to a copy of `state`, as the controller is about to do,
  // and returns the completions of the submissions among them. Copies the state
  // only if there is one.
  std::vector<Completion> CompleteApplied(const ClusterState& state,
                                          std::span<const LogEntry> entries);

  // Ends the submission of the record `id`, if pending, with `error`.
  std::vector<Completion> Reject(std::string_view id, const Error& error);

  // Ends the submissions whose deadline has passed, with kTimeout.
  // `may_be_appended` returns whether a record may have reached the log.
  std::vector<Completion> Expire(
      MonotonicTime now,
      const std::function<bool(std::string_view id)>& may_be_appended);

  // Calls the callback of each completion.
  static void Report(std::span<const Completion> completions);

 private:
  struct PendingSubmission {
    MonotonicTime deadline;
    Callback callback;
  };

  bool ContainsPending(std::span<const LogEntry> entries) const;

  std::map<std::string, PendingSubmission, std::less<>> m_pending;
};

}  // namespace snipehall
