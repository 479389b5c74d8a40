#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "coordination/completion_chooser.h"
#include "coordination/target_load_table.h"
#include "state/reported_load.h"
#include "state/routing_table.h"
#include "state/types.h"

namespace snipehall {

struct TargetChooserOptions {
  ZoneName own_zone;
  int slots_per_endpoint = 1;
  std::uint64_t seed = 0;
  // Age at which a reported load is ignored; its weight falls linearly until
  // then.
  Milliseconds report_lifetime{500};
  // Time in which a target that is new to this instance ramps up to its full
  // share.
  Milliseconds slow_start{5000};
  // Time without a response or progress, with requests outstanding, after which
  // a target counts as stalled.
  Milliseconds stall_timeout{1000};
  // Interval between probes of a stalled target.
  Milliseconds probe_interval{200};
  // Backoff of a target that could not be reached: after the first failure, and
  // the maximum.
  Milliseconds initial_backoff{500};
  Milliseconds max_backoff{4000};
  // Time in which a failed request counts as outstanding work; its weight falls
  // linearly from one request to none.
  Milliseconds failure_penalty{1000};
};

// Expected time of a new request at a target, in mean service times of its
// route.
struct TargetOutlook {
  // Time in the target's queue.
  double wait = 0;
  // Time in work after that.
  double service = 1;
};

// Load balancer of a service that is not keyed: chooses the target of each
// request by least load, and prefers the instance's own zone.
//
// The load of a target is mainly the number of requests that this instance has
// outstanding there, which is exact and current. The load that the target
// reported adds the work of other instances, with less weight as it ages,
// because reports lag. Each recent failure counts as outstanding work, so that
// a target that fails fast does not look idle.
//
// With a TargetLoadTable, targets are chosen by their learned speed and by the
// loads that all instances have seen; see ChooseByCompletion().
class TargetChooser {
 public:
  // Fails with kInvalidArgument when slots_per_endpoint is below 1.
  static Result<TargetChooser> Create(TargetChooserOptions options);

  // Uses the table's estimates from now on, or none if it is null. The table
  // must outlive this object.
  void set_load_table(const TargetLoadTable* table) { m_load_table = table; }

  // Replaces the list of targets. The state of targets that stay is kept.
  void SetTargets(MonotonicTime now, std::span<const RouteTarget> targets);

  // Returns the index of the target for a new request, or nothing when every
  // target is stalled, draining or excluded. `excluded` are the targets that
  // the request has already tried. A target in backoff is chosen only when no
  // other is left. Call OnSent() when the request is sent.
  std::optional<std::size_t> Choose(MonotonicTime now,
                                    std::span<const TargetId> excluded = {});

  // Returns the expected times of a new request to the target; it must be known
  // to SetTargets().
  TargetOutlook Outlook(MonotonicTime now, std::string_view target) const;

  // Call when a request was sent to the target.
  void OnSent(MonotonicTime now, std::string_view target);
  // Call when bytes were transferred in either direction.
  void OnProgress(MonotonicTime now, std::string_view target);
  // Call when a response was received completely. `report` is the load that the
  // target reported with it.
  void OnAnswered(MonotonicTime now,
                  std::string_view target,
                  std::optional<ReportedLoad> report);
  // Call when no connection could be made. The target is in backoff for a time
  // that doubles with each consecutive failure.
  void OnUnreachable(MonotonicTime now, std::string_view target);
  // Call when the request failed or the target refused it.
  void OnFailed(MonotonicTime now, std::string_view target);
  // Call when the request ended for a reason other than the target, e.g. its
  // caller disconnected.
  void OnAbandoned(std::string_view target);
  void OnProbeAnswered(MonotonicTime now, std::string_view target);

  // Returns the indices of the stalled targets to probe now. Report responses
  // by OnProbeAnswered().
  std::vector<std::size_t> TakeDueProbes(MonotonicTime now);

  // Whether requests are outstanding without progress for `stall_timeout`, or
  // the target has not yet answered a probe after that.
  bool IsStalled(MonotonicTime now, std::size_t index) const;
  int outstanding(std::size_t index) const {
    return m_entries[index].outstanding;
  }
  std::size_t size() const { return m_entries.size(); }

  // Returns the expected load of a target as a multiple of its slots; 1 is
  // full.
  double Load(MonotonicTime now, std::size_t index) const;

 private:
  struct Entry {
    TargetId id;
    bool local = false;
    bool draining = false;
    int outstanding = 0;
    // Outstanding requests of other instances by the last report.
    int others_outstanding = 0;
    int slots = 1;
    double failures = 0;
    MonotonicTime failures_at;
    MonotonicTime backoff_until;
    Milliseconds backoff{0};
    MonotonicTime reported_at;
    MonotonicTime slow_start_until;
    // Time of the last response or progress, or when the first request was sent
    // to the idle target.
    MonotonicTime active_at;
    MonotonicTime probe_at;
    bool needs_probe = false;
  };

  explicit TargetChooser(TargetChooserOptions options);

  Entry* Find(std::string_view target);
  // Whether a request that has tried `excluded` may be sent to the target.
  bool IsEligible(MonotonicTime now,
                  std::size_t index,
                  std::span<const TargetId> excluded) const;
  // The target's load and speed as far as known.
  CompletionCandidate Observe(MonotonicTime now, std::size_t index) const;
  // The same with what only this instance knows: its own requests, failures and
  // the slow start.
  CompletionCandidate Candidate(MonotonicTime now, std::size_t index) const;
  std::optional<std::size_t> ChooseByEstimates(
      MonotonicTime now,
      std::span<const TargetId> excluded);
  // Returns the current weight of recent failures, in outstanding requests.
  double FailurePenalty(MonotonicTime now, const Entry& entry) const;
  // Returns the fraction of its capacity that a target in slow start may use, 1
  // after it.
  double SlowStartFactor(MonotonicTime now, const Entry& entry) const;

  TargetChooserOptions m_options;
  const TargetLoadTable* m_load_table = nullptr;
  std::vector<Entry> m_entries;
  // Memory of ChooseByEstimates() between calls.
  std::vector<CompletionCandidate> m_candidates;
  std::mt19937_64 m_random;
};

}  // namespace snipehall
