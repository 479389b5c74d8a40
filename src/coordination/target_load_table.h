#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "state/reported_load.h"
#include "state/types.h"

namespace snipehall {

// What one instance has learned of a target since its last report.
struct TargetLoadSample {
  TargetId target;
  // Requests at the target by its newest report, and the age of that report.
  int outstanding = 0;
  int slots = 0;
  Milliseconds age{0};
  // Responses without queueing, and the sum of their service times, each
  // relative to the mean service time of its route at this instance.
  std::uint32_t responses = 0;
  double relative_time_sum = 0;

  bool operator==(const TargetLoadSample&) const = default;
};

// What the leader knows of a target by the reports of all instances.
struct TargetLoadSummary {
  TargetId target;
  // Requests at the target by the newest report, and the age of that report.
  int outstanding = 0;
  int slots = 0;
  Milliseconds age{0};
  // Service time relative to the mean of the service's targets; 2 is half as
  // fast.
  double relative_time = 1;
  // Fraction of the requests for the target's keys that may be sent to it, from
  // 0 to 1; below 1 when its keys have more requests than it can serve.
  double admitted_fraction = 1;

  bool operator==(const TargetLoadSummary&) const = default;
};

// The present estimate of a target's load and speed.
struct TargetLoadEstimate {
  // Requests at the target, of all instances; nothing when no recent report is
  // known.
  std::optional<double> outstanding;
  int slots = 1;
  double relative_time = 1;
  double admitted_fraction = 1;
  // Service time of a request of the given route without queueing, and the
  // expected time in the target's queue before it.
  Milliseconds service_time{0};
  Milliseconds expected_wait{0};
};

// Estimates the load and the speed of targets, from the responses that this
// instance gets and from the summaries of the leader. It answers uneven
// servers: those of one service work at different speeds, some slow down for a
// while, and one instance alone sees too few responses of each to tell.
//
// Without summaries, e.g. while there is no leader, only this instance's own
// observations count.
class TargetLoadTable {
 public:
  // Call for each complete response of a target to a request of `route`, which
  // took `elapsed` since it was sent.
  void OnResponse(MonotonicTime now,
                  std::string_view service,
                  std::string_view target,
                  std::string_view route,
                  Milliseconds elapsed,
                  const std::optional<ReportedLoad>& load);
  // Call for each summary of the leader. A summary may lack targets.
  void OnSummary(MonotonicTime now,
                 const std::vector<TargetLoadSummary>& summary);
  // Returns what was learned since the last call, for a report to the leader.
  std::vector<TargetLoadSample> TakeReport(MonotonicTime now);

  // Returns the estimate for a request of `route` to `target`; nothing if
  // nothing is known of the target.
  std::optional<TargetLoadEstimate> Find(MonotonicTime now,
                                         std::string_view target,
                                         std::string_view route) const;

  // Forgets the targets for which `is_known` returns false.
  template <typename Predicate>
  void Retain(Predicate is_known) {
    std::erase_if(m_targets,
                  [&](const auto& item) { return !is_known(item.first); });
  }

 private:
  struct Entry {
    ReportedLoad load;
    std::optional<MonotonicTime> reported_at;
    TargetLoadSample unreported;
    double relative_time = 1;
    double admitted_fraction = 1;
    MonotonicTime summary_at;
  };

  std::map<TargetId, Entry, std::less<>> m_targets;
};

}  // namespace snipehall
