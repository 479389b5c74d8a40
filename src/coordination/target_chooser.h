#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "state/routing_table.h"
#include "state/types.h"

namespace snipehall {

// A target's own report of its load, taken from an answer that it gave.
struct ReportedLoad {
  int outstanding = 0;
  int slots = 0;

  bool IsFull() const { return outstanding >= slots; }
};

struct TargetChooserOptions {
  ZoneName own_zone;
  int slots_per_endpoint = 1;
  std::uint64_t seed = 0;
  // Age at which a reported load no longer counts.
  Milliseconds report_lifetime{500};
  // Time that a target new to this instance takes to reach its full share.
  Milliseconds slow_start{5000};
  // Time without any answer or progress, with work outstanding, after which a
  // target counts as frozen.
  Milliseconds stall_limit{1000};
  // Time between probes of a target that is kept out of choice.
  Milliseconds probe_interval{200};
  // How long a target is avoided after it could not be reached, at first and
  // at most.
  Milliseconds first_avoidance{500};
  Milliseconds longest_avoidance{4000};
  // How long a failed request counts as one outstanding request.
  Milliseconds failure_penalty{1000};
};

// Chooses the target of each request of a service that is not keyed.
//
// The instance's own outstanding counts come first: they are exact and
// current. The target's reported load adds the work of other instances and
// fades with its age, because reports lag. Each recent failure counts as
// outstanding work, so that a target that fails fast does not look idle.
class TargetChooser {
 public:
  static Result<TargetChooser> Create(TargetChooserOptions options);

  // Replaces the list of targets. Counts of targets that stay are kept.
  void SetTargets(MonotonicTime now, std::span<const RouteTarget> targets);

  // The target for a new request, or nothing when every target is full,
  // frozen or leaving. `excluded` are targets that the request has tried. One
  // that could not be reached lately is chosen only for want of another.
  std::optional<std::size_t> Choose(MonotonicTime now,
                                    std::span<const TargetId> excluded = {});

  void OnSent(MonotonicTime now, std::string_view target);
  // Bytes moved in either direction.
  void OnProgress(MonotonicTime now, std::string_view target);
  // An answer was received whole. `report` is what the target said of itself.
  void OnAnswered(MonotonicTime now,
                  std::string_view target,
                  std::optional<ReportedLoad> report);
  // No connection could be made. The target is avoided for a time that doubles
  // with each failure in a row.
  void OnUnreachable(MonotonicTime now, std::string_view target);
  // The request failed or the target refused it.
  void OnFailed(MonotonicTime now, std::string_view target);
  // The request ended by no doing of the target, e.g. its caller left.
  void OnAbandoned(std::string_view target);
  void OnProbeAnswered(MonotonicTime now, std::string_view target);

  // Targets that are kept out of choice and due for a probe at `now`.
  std::vector<std::size_t> TakeDueProbes(MonotonicTime now);

  bool IsFrozen(MonotonicTime now, std::size_t index) const;
  int outstanding(std::size_t index) const {
    return m_entries[index].outstanding;
  }
  std::size_t size() const { return m_entries.size(); }

  // Expected load of a target in units of its slots; 1 is full.
  double Load(MonotonicTime now, std::size_t index) const;

 private:
  struct Entry {
    TargetId id;
    bool local = false;
    bool leaving = false;
    int outstanding = 0;
    // Work of other instances by the last report.
    int others = 0;
    int slots = 1;
    double failures = 0;
    MonotonicTime failures_at;
    MonotonicTime avoided_until;
    Milliseconds avoidance{0};
    MonotonicTime reported_at;
    MonotonicTime slow_start_until;
    // Last answer or progress, or the time at which idle work began.
    MonotonicTime active_at;
    MonotonicTime probe_at;
    bool needs_probe = false;
  };

  explicit TargetChooser(TargetChooserOptions options);

  Entry* Find(std::string_view target);
  double Failures(MonotonicTime now, const Entry& entry) const;
  // Share of its full capacity that a target in slow start may take.
  double Ramp(MonotonicTime now, const Entry& entry) const;

  TargetChooserOptions m_options;
  std::vector<Entry> m_entries;
  std::mt19937_64 m_random;
};

}  // namespace snipehall
