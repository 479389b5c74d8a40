#include "coordination/target_chooser.h"

#include <algorithm>
#include <limits>

namespace snipehall {

namespace {

// Minimum fraction for a target in slow start; without requests it would never
// warm up.
constexpr double kMinSlowStartFactor = 0.1;

// Loads that differ by less count as equal; the choice among them is random, so
// that instances with the same reports do not all choose the same target.
constexpr double kScoreTolerance = 0.05;

double Ratio(MonotonicTime::duration part, Milliseconds whole) {
  if (whole.count() <= 0) {
    return 1;
  }
  return std::chrono::duration<double>(part) /
         std::chrono::duration<double>(whole);
}

}  // namespace

Result<TargetChooser> TargetChooser::Create(TargetChooserOptions options) {
  if (options.slots_per_endpoint < 1) {
    return Fail(ErrorCode::kInvalidArgument,
                "slots_per_endpoint must be at least 1");
  }
  return TargetChooser(std::move(options));
}

TargetChooser::TargetChooser(TargetChooserOptions options)
    : m_options(std::move(options)), m_random(m_options.seed) {}

void TargetChooser::SetTargets(MonotonicTime now,
                               std::span<const RouteTarget> targets) {
  // Without earlier targets the whole service is new to this instance. Slow
  // start of all targets at once would only refuse requests.
  const bool first = m_entries.empty();
  std::vector<Entry> entries;
  entries.reserve(targets.size());
  for (const RouteTarget& target : targets) {
    Entry entry;
    if (const Entry* known = Find(target.id)) {
      entry = *known;
    } else {
      entry.id = target.id;
      entry.slots = m_options.slots_per_endpoint;
      entry.active_at = now;
      entry.slow_start_until = first ? now : now + m_options.slow_start;
    }
    entry.local = target.zone == m_options.own_zone;
    entry.draining = target.draining;
    entries.push_back(std::move(entry));
  }
  m_entries = std::move(entries);
}

bool TargetChooser::IsEligible(MonotonicTime now,
                               std::size_t index,
                               std::span<const TargetId> excluded) const {
  const Entry& entry = m_entries[index];
  return !entry.draining && !IsStalled(now, index) &&
         std::find(excluded.begin(), excluded.end(), entry.id) ==
             excluded.end();
}

CompletionCandidate TargetChooser::Observe(MonotonicTime now,
                                           std::size_t index) const {
  const Entry& entry = m_entries[index];
  CompletionCandidate candidate{index, entry.local, double(entry.slots),
                                double(entry.outstanding)};
  const auto estimate = m_load_table == nullptr
                            ? std::nullopt
                            : m_load_table->Find(now, entry.id);
  if (estimate) {
    if (estimate->outstanding) {
      // The report includes this instance's own requests.
      candidate.slots = estimate->slots;
      candidate.outstanding =
          std::max<double>(entry.outstanding, *estimate->outstanding);
    }
    candidate.relative_time =
        IsLightlyLoaded(candidate.outstanding, candidate.slots)
            ? estimate->light_time
            : estimate->busy_time;
  }
  return candidate;
}

CompletionCandidate TargetChooser::Candidate(MonotonicTime now,
                                             std::size_t index) const {
  const Entry& entry = m_entries[index];
  CompletionCandidate candidate = Observe(now, index);
  candidate.own_load = entry.outstanding + FailurePenalty(now, entry);
  candidate.ramp = SlowStartFactor(now, entry);
  return candidate;
}

std::optional<std::size_t> TargetChooser::ChooseByEstimates(
    MonotonicTime now,
    std::span<const TargetId> excluded) {
  std::vector<CompletionCandidate>& candidates = m_candidates;
  candidates.clear();
  bool any_reachable = false;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (!IsEligible(now, i, excluded)) {
      continue;
    }
    const bool reachable = now >= m_entries[i].backoff_until;
    if (reachable && !any_reachable) {
      candidates.clear();
    }
    any_reachable = any_reachable || reachable;
    if (reachable || !any_reachable) {
      candidates.push_back(Candidate(now, i));
    }
  }
  return ChooseByCompletion(candidates, m_random);
}

TargetOutlook TargetChooser::Outlook(MonotonicTime now,
                                     std::string_view target) const {
  const auto found =
      std::find_if(m_entries.begin(), m_entries.end(),
                   [target](const Entry& entry) { return entry.id == target; });
  if (found == m_entries.end()) {
    return {};
  }
  // A slow start and recent failures do not delay a request at the target.
  const CompletionCandidate candidate =
      Observe(now, static_cast<std::size_t>(found - m_entries.begin()));
  return {candidate.QueueLength() * candidate.relative_time,
          candidate.relative_time};
}

std::optional<std::size_t> TargetChooser::Choose(
    MonotonicTime now,
    std::span<const TargetId> excluded) {
  if (m_load_table != nullptr) {
    return ChooseByEstimates(now, excluded);
  }
  double best_score = std::numeric_limits<double>::infinity();
  bool best_local = false;
  bool best_reachable = false;
  std::size_t best = 0;
  std::size_t ties = 0;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    const Entry& entry = m_entries[i];
    if (!IsEligible(now, i, excluded)) {
      continue;
    }
    const bool reachable = now >= entry.backoff_until;
    if (ties > 0 && best_reachable && !reachable) {
      continue;
    }
    const double score = Load(now, i);
    // Targets of the own zone with a free slot are preferred to all others.
    const bool local = entry.local && score < 1;
    const bool better = reachable != best_reachable ? reachable
                        : local != best_local
                            ? local
                            : score < best_score - kScoreTolerance;
    if (better || ties == 0) {
      best_score = score;
      best_local = local;
      best_reachable = reachable;
      best = i;
      ties = 1;
      continue;
    }
    if (local != best_local || score > best_score + kScoreTolerance) {
      continue;
    }
    ++ties;
    if (m_random() % ties == 0) {
      best = i;
    }
  }
  if (ties == 0) {
    return std::nullopt;
  }
  return best;
}

void TargetChooser::OnSent(MonotonicTime now, std::string_view target) {
  Entry* entry = Find(target);
  if (entry == nullptr) {
    return;
  }
  if (entry->outstanding == 0) {
    entry->active_at = now;
  }
  ++entry->outstanding;
}

void TargetChooser::OnProgress(MonotonicTime now, std::string_view target) {
  Entry* entry = Find(target);
  if (entry != nullptr) {
    entry->active_at = now;
    entry->needs_probe = false;
  }
}

void TargetChooser::OnUnreachable(MonotonicTime now, std::string_view target) {
  Entry* entry = Find(target);
  if (entry == nullptr) {
    return;
  }
  entry->backoff = entry->backoff.count() == 0
                       ? m_options.initial_backoff
                       : std::min(entry->backoff * 2, m_options.max_backoff);
  entry->backoff_until = now + entry->backoff;
  OnAbandoned(target);
}

void TargetChooser::OnAnswered(MonotonicTime now,
                               std::string_view target,
                               std::optional<ReportedLoad> report) {
  Entry* entry = Find(target);
  if (entry == nullptr) {
    return;
  }
  OnProgress(now, target);
  entry->backoff = Milliseconds(0);
  entry->backoff_until = MonotonicTime();
  if (report) {
    // The report includes this instance's own requests, possibly also the one
    // that was just answered.
    entry->others_outstanding =
        std::max(0, report->outstanding - entry->outstanding);
    entry->slots = std::max(1, report->slots);
    entry->reported_at = now;
  }
  OnAbandoned(target);
}

void TargetChooser::OnFailed(MonotonicTime now, std::string_view target) {
  Entry* entry = Find(target);
  if (entry == nullptr) {
    return;
  }
  entry->failures = FailurePenalty(now, *entry) + 1;
  entry->failures_at = now;
  OnAbandoned(target);
}

void TargetChooser::OnAbandoned(std::string_view target) {
  Entry* entry = Find(target);
  if (entry != nullptr && entry->outstanding > 0) {
    --entry->outstanding;
  }
}

void TargetChooser::OnProbeAnswered(MonotonicTime now,
                                    std::string_view target) {
  OnProgress(now, target);
}

std::vector<std::size_t> TargetChooser::TakeDueProbes(MonotonicTime now) {
  std::vector<std::size_t> due;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    Entry& entry = m_entries[i];
    if (!IsStalled(now, i)) {
      continue;
    }
    // All requests of a stalled target may have been abandoned by now; it is
    // not chosen until it has answered a probe.
    entry.needs_probe = true;
    if (entry.probe_at <= now) {
      entry.probe_at = now + m_options.probe_interval;
      due.push_back(i);
    }
  }
  return due;
}

bool TargetChooser::IsStalled(MonotonicTime now, std::size_t index) const {
  const Entry& entry = m_entries[index];
  return entry.needs_probe ||
         (entry.outstanding > 0 &&
          now - entry.active_at >= m_options.stall_timeout);
}

double TargetChooser::Load(MonotonicTime now, std::size_t index) const {
  const Entry& entry = m_entries[index];
  const double age = Ratio(now - entry.reported_at, m_options.report_lifetime);
  const double others_outstanding =
      entry.others_outstanding * std::clamp(1 - age, 0.0, 1.0);
  const double work =
      entry.outstanding + others_outstanding + FailurePenalty(now, entry);
  return work / (entry.slots * SlowStartFactor(now, entry));
}

TargetChooser::Entry* TargetChooser::Find(std::string_view target) {
  const auto found =
      std::find_if(m_entries.begin(), m_entries.end(),
                   [target](const Entry& entry) { return entry.id == target; });
  return found == m_entries.end() ? nullptr : &*found;
}

double TargetChooser::FailurePenalty(MonotonicTime now,
                                     const Entry& entry) const {
  const double age = Ratio(now - entry.failures_at, m_options.failure_penalty);
  return entry.failures * std::clamp(1 - age, 0.0, 1.0);
}

double TargetChooser::SlowStartFactor(MonotonicTime now,
                                      const Entry& entry) const {
  if (now >= entry.slow_start_until) {
    return 1;
  }
  const double left = Ratio(entry.slow_start_until - now, m_options.slow_start);
  return std::max(kMinSlowStartFactor, 1 - left);
}

}  // namespace snipehall
