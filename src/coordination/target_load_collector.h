#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/target_load_table.h"
#include "state/target_list.h"
#include "state/types.h"

namespace snipehall {

// Merges on the leader what all instances report of the load and the speed of
// targets, and makes summaries for them. It answers uneven servers: together
// the instances see enough responses of each target to tell its speed.
//
// The speed of a target is the mean of its last responses, relative to the
// other targets of its service. When the newest responses differ much from
// earlier ones, the earlier ones are forgotten, so that a target that slows
// down or recovers is known after about kFastSample responses. Nothing is kept
// in the log: a new leader learns it again within seconds.
class TargetLoadCollector {
 public:
  // Maximum number of targets in a summary, so that it fits in one datagram.
  // With more targets, summaries take turns.
  static constexpr std::size_t kMaxSummaryTargets = 192;
  // Number of responses over which the speed of a target is taken, and of the
  // newest ones that may replace it.
  static constexpr double kSlowSample = 60;
  static constexpr double kFastSample = 5;
  // Factor by which the newest responses must differ from earlier ones to
  // replace them.
  static constexpr double kChangeFactor = 1.5;
  // Number of responses that an unknown target is assumed to have had at the
  // mean speed of its service.
  static constexpr double kPriorResponses = 6;
  // Age from which on the load of a report is not passed on.
  static constexpr Milliseconds kMaxAge{1500};
  // Time without responses after which the speed of a target is forgotten: a
  // target that was found slow gets few requests, and must be tried again.
  static constexpr Milliseconds kForgetTime{10000};

  // Call for each report of an instance, this one included.
  void OnReport(MonotonicTime now, std::span<const TargetLoadSample> samples);

  // Returns the summary of the next targets of `targets` for which something is
  // known, at most kMaxSummaryTargets. Of `keyed_services`, whose targets an
  // instance does not choose, only full ones are included. Forgets targets that
  // are not listed.
  std::vector<TargetLoadSummary> NextSummary(
      MonotonicTime now,
      const TargetList& targets,
      const std::set<ServiceName, std::less<>>& keyed_services);

  // Service time of the target relative to the mean of its service, 1 if it is
  // not known.
  double RelativeTime(std::string_view target) const;

  // Least and greatest relative time of the targets of each service.
  std::map<ServiceName, std::pair<double, double>> RelativeTimeBounds(
      const TargetList& targets) const;

 private:
  struct Entry {
    int outstanding = 0;
    int slots = 0;
    std::optional<MonotonicTime> loaded_at;
    MonotonicTime responded_at;
    // Sums over the last responses, with decaying weights.
    double slow_responses = 0;
    double slow_time = 0;
    double fast_responses = 0;
    double fast_time = 0;
    // As the slow sums, apart by IsLightlyLoaded().
    double light_responses = 0;
    double light_time = 0;
    double busy_responses = 0;
    double busy_time = 0;
    // All responses, up to kPriorResponses.
    double known_responses = 0;
    // Relative to the mean of the service, as of the last Normalize().
    double relative_time = 1;
    double relative_light_time = 1;
    double relative_busy_time = 1;

    // Service time relative to the routes' means at the instances.
    double Time() const;
    // The same for a part of the responses; missing ones count as Time().
    double PartTime(double responses, double time) const;
  };

  static void AddResponses(Entry& entry, const TargetLoadSample& sample);
  // Recomputes the relative times of all listed targets.
  void Normalize(MonotonicTime now, const TargetList& targets);
  static TargetLoadSummary Summarize(MonotonicTime now,
                                     const TargetId& id,
                                     const Entry& entry);
  // Whether a recent report shows the target without free slots.
  static bool IsFull(MonotonicTime now, const Entry& entry);

  std::map<TargetId, Entry, std::less<>> m_targets;
  // The first target of the next summary.
  TargetId m_next;
};

}  // namespace snipehall
