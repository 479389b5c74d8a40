#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/reported_load.h"
#include "state/types.h"

namespace snipehall {

// What one instance has learned of a target since its last report.
struct TargetLoadSample {
  TargetId target;
  // Requests at the target by its newest report, and the age of that report;
  // `slots` is zero if there is none.
  int outstanding = 0;
  int slots = 0;
  Milliseconds age{0};
  // Responses that did not queue, and the sum of their service times, each
  // relative to the mean service time of its route at this instance.
  std::uint32_t responses = 0;
  double relative_time_sum = 0;
  // Those of them at more than half of the slots; see IsLightlyLoaded().
  std::uint32_t busy_responses = 0;
  double busy_time_sum = 0;

  bool operator==(const TargetLoadSample&) const = default;
};

// What the leader knows of a target by the reports of all instances.
struct TargetLoadSummary {
  TargetId target;
  // As in TargetLoadSample.
  int outstanding = 0;
  int slots = 0;
  Milliseconds age{0};
  // Service time relative to the mean of the service's targets; 2 is half as
  // fast.
  double relative_time = 1;
  // The same while at most half of the slots are busy, and while more are.
  double light_time = 1;
  double busy_time = 1;

  bool operator==(const TargetLoadSummary&) const = default;
};

// The present estimate of a target's load and speed.
struct TargetLoadEstimate {
  // Requests at the target, of all instances, and its slots; nothing when no
  // recent report is known.
  std::optional<double> outstanding;
  int slots = 1;
  // See TargetLoadSummary.
  double relative_time = 1;
  double light_time = 1;
  double busy_time = 1;
};

// Whether at most half of the slots are busy. Some targets slow down above
// that, long before they are full.
inline bool IsLightlyLoaded(double outstanding, double slots) {
  return outstanding * 2 <= slots;
}

// Estimates the load and the speed of targets, from the responses that this
// instance gets and from the summaries of the leader. It answers uneven
// servers: those of one service work at different speeds, some slow down for a
// while, and one instance alone sees too few responses of each to tell.
//
// Without summaries, e.g. while there is no leader, only this instance's own
// observations count.
class TargetLoadTable {
 public:
  // Maximum number of targets in a report to the leader, so that it fits in one
  // datagram; the others follow in the next.
  static constexpr std::size_t kMaxReportTargets = 32;
  // Age at which the load of a report is ignored; its weight falls linearly
  // until then.
  static constexpr Milliseconds kReportLifetime{1000};
  // Age from which on a summary's estimates are ignored; see Find().
  static constexpr Milliseconds kSummaryLifetime{3000};
  // Number of responses over which the mean service time of a route is taken.
  static constexpr double kRouteSample = 64;
  // Bounds of a relative time.
  static constexpr double kMinRelativeTime = 0.1;
  static constexpr double kMaxRelativeTime = 20;
  // Relative time as which a failure counts.
  static constexpr double kFailureTime = 5;

  // Call for each complete response of a target to a request of `route`, which
  // took `elapsed` since it was sent.
  void OnResponse(MonotonicTime now,
                  std::string_view target,
                  std::string_view route,
                  Milliseconds elapsed,
                  const std::optional<ReportedLoad>& load);
  // Call when a request to the target failed there, or took until its deadline:
  // for callers, such a target is a slow one.
  void OnFailure(std::string_view target);
  // Call for each refusal of a target that states its load.
  void OnReportedLoad(MonotonicTime now,
                      std::string_view target,
                      const ReportedLoad& load);
  // Call for each summary of the leader; it may lack targets.
  void OnSummary(MonotonicTime now,
                 const std::vector<TargetLoadSummary>& summary);
  // Returns what was learned since the last call, for a report to the leader.
  std::vector<TargetLoadSample> TakeReport(MonotonicTime now);

  // Returns the estimate for the target; nothing if nothing is known of it.
  std::optional<TargetLoadEstimate> Find(MonotonicTime now,
                                         std::string_view target) const;
  // Mean service time of the route's requests over all targets; nothing before
  // the first response without queueing.
  std::optional<Milliseconds> ServiceTime(std::string_view route) const;

  // Forgets the targets for which `is_known` returns false.
  template <typename Predicate>
  void Retain(Predicate is_known) {
    std::erase_if(m_targets,
                  [&](const auto& item) { return !is_known(item.first); });
  }

 private:
  struct Entry {
    ReportedLoad load;
    // When the target sent `load`.
    std::optional<MonotonicTime> loaded_at;
    // Whether `load` is from a response to this instance, not yet reported.
    bool is_unreported = false;
    std::uint32_t responses = 0;
    double relative_time_sum = 0;
    std::uint32_t busy_responses = 0;
    double busy_time_sum = 0;
    double relative_time = 1;
    double light_time = 1;
    double busy_time = 1;
    std::optional<MonotonicTime> summary_at;
    // The target is in `m_pending`.
    bool is_pending = false;
  };

  struct IdHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view id) const {
      return std::hash<std::string_view>()(id);
    }
  };

  // Mean service time of a route, seconds.
  struct RouteTime {
    double seconds = 0;
    double responses = 0;
  };

  Entry& FindOrAdd(std::string_view target);
  // Returns the entry after adding it to `m_pending`.
  Entry& FindForReport(std::string_view target);

  std::unordered_map<TargetId, Entry, IdHash, std::equal_to<>> m_targets;
  // Targets of the next reports, in the order in which they were observed.
  std::deque<TargetId> m_pending;
  std::map<std::string, RouteTime, std::less<>> m_routes;
};

}  // namespace snipehall
