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

// Records that operators submitted and that were not read back yet.
class SubmissionTable {
 public:
  using Callback = ControlService::SubmitCallback;

  // Submissions that may wait at a time.
  static constexpr std::size_t kLimit = 64;

  // The outcome of a submission, to be reported with Report().
  struct Completion {
    Callback callback;
    Result<SubmitOutcome> outcome;
  };

  // Returns false when too many are waiting or `id` is waiting already.
  bool Add(std::string_view id, MonotonicTime deadline, Callback callback);

  // Folds `entries` on a copy of `state`, as the controller is about to do, if
  // one of them is waited for. Returns what became of it.
  std::vector<Completion> Observe(const ClusterState& state,
                                  std::span<const LogEntry> entries);

  // Ends a submission that the log refused.
  std::vector<Completion> Reject(std::string_view id, const Error& error);

  // Ends those whose deadline has passed. `may_be_appended` says whether a
  // record may have reached the log.
  std::vector<Completion> Expire(
      MonotonicTime now,
      const std::function<bool(std::string_view id)>& may_be_appended);

  static void Report(std::span<const Completion> completions);

 private:
  struct Waiting {
    MonotonicTime deadline;
    Callback callback;
  };

  bool ConcernsAny(std::span<const LogEntry> entries) const;

  std::map<std::string, Waiting, std::less<>> m_waiting;
};

}  // namespace snipehall
