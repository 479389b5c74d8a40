#include "coordination/target_load_table.h"

#include <algorithm>
#include <utility>

namespace snipehall {

TargetLoadTable::Entry& TargetLoadTable::FindOrAdd(std::string_view target) {
  const auto found = m_targets.find(target);
  return found != m_targets.end() ? found->second : m_targets[TargetId(target)];
}

TargetLoadTable::Entry& TargetLoadTable::FindForReport(
    std::string_view target) {
  Entry& entry = FindOrAdd(target);
  if (!entry.is_pending) {
    entry.is_pending = true;
    m_pending.emplace_back(target);
  }
  return entry;
}

void TargetLoadTable::OnReportedLoad(MonotonicTime now,
                                     std::string_view target,
                                     const ReportedLoad& load) {
  Entry& entry = FindForReport(target);
  entry.load = load;
  entry.loaded_at = now;
  entry.is_unreported = true;
}

void TargetLoadTable::OnFailure(std::string_view target) {
  Entry& entry = FindForReport(target);
  ++entry.responses;
  entry.relative_time_sum += kFailureTime;
}

void TargetLoadTable::OnResponse(MonotonicTime now,
                                 std::string_view target,
                                 std::string_view route,
                                 Milliseconds elapsed,
                                 const std::optional<ReportedLoad>& load) {
  if (!load) {
    return;
  }
  OnReportedLoad(now, target, *load);
  // With free slots at the target, the time has no queueing in it.
  if (load->IsFull()) {
    return;
  }
  const auto found = m_routes.find(route);
  RouteTime& mean =
      found != m_routes.end() ? found->second : m_routes[std::string(route)];
  const double seconds = std::chrono::duration<double>(elapsed).count();
  mean.responses = std::min(mean.responses + 1, kRouteSample);
  mean.seconds += (seconds - mean.seconds) / mean.responses;
  if (mean.seconds > 0) {
    Entry& entry = FindForReport(target);
    ++entry.responses;
    const double relative_time =
        std::clamp(seconds / mean.seconds, kMinRelativeTime, kMaxRelativeTime);
    entry.relative_time_sum += relative_time;
    if (!IsLightlyLoaded(load->outstanding, load->slots)) {
      ++entry.busy_responses;
      entry.busy_time_sum += relative_time;
    }
  }
}

void TargetLoadTable::OnSummary(MonotonicTime now,
                                const std::vector<TargetLoadSummary>& summary) {
  for (const TargetLoadSummary& item : summary) {
    Entry& entry = FindOrAdd(item.target);
    entry.relative_time = item.relative_time;
    entry.light_time = item.light_time;
    entry.busy_time = item.busy_time;
    entry.summary_at = now;
    const MonotonicTime loaded_at = now - item.age;
    if (item.slots > 0 && (!entry.loaded_at || *entry.loaded_at < loaded_at)) {
      entry.load = {item.outstanding, item.slots};
      entry.loaded_at = loaded_at;
      entry.is_unreported = false;
    }
  }
}

std::vector<TargetLoadSample> TargetLoadTable::TakeReport(MonotonicTime now) {
  std::vector<TargetLoadSample> samples;
  while (!m_pending.empty() && samples.size() < kMaxReportTargets) {
    const auto found = m_targets.find(m_pending.front());
    m_pending.pop_front();
    if (found == m_targets.end()) {
      continue;
    }
    auto& [id, entry] = *found;
    entry.is_pending = false;
    if (!entry.is_unreported && entry.responses == 0) {
      continue;
    }
    TargetLoadSample sample;
    sample.target = id;
    if (entry.is_unreported) {
      sample.outstanding = entry.load.outstanding;
      sample.slots = entry.load.slots;
      sample.age =
          std::chrono::duration_cast<Milliseconds>(now - *entry.loaded_at);
    }
    sample.responses = std::exchange(entry.responses, 0);
    sample.relative_time_sum = std::exchange(entry.relative_time_sum, 0);
    sample.busy_responses = std::exchange(entry.busy_responses, 0);
    sample.busy_time_sum = std::exchange(entry.busy_time_sum, 0);
    entry.is_unreported = false;
    samples.push_back(std::move(sample));
  }
  return samples;
}

std::optional<TargetLoadEstimate> TargetLoadTable::Find(
    MonotonicTime now,
    std::string_view target) const {
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  TargetLoadEstimate estimate;
  const auto age = entry.loaded_at ? now - *entry.loaded_at : kReportLifetime;
  if (age < kReportLifetime) {
    // Queues are short-lived, so a report counts less as it ages.
    const double weight =
        1 - std::chrono::duration<double>(age) /
                std::chrono::duration<double>(kReportLifetime);
    estimate.outstanding = entry.load.outstanding * weight;
    estimate.slots = std::max(1, entry.load.slots);
  }
  if (entry.summary_at && now - *entry.summary_at < kSummaryLifetime) {
    estimate.relative_time = entry.relative_time;
    estimate.light_time = entry.light_time;
    estimate.busy_time = entry.busy_time;
  }
  return estimate;
}

std::optional<Milliseconds> TargetLoadTable::ServiceTime(
    std::string_view route) const {
  const auto found = m_routes.find(route);
  if (found == m_routes.end()) {
    return std::nullopt;
  }
  return std::chrono::round<Milliseconds>(
      std::chrono::duration<double>(found->second.seconds));
}

}  // namespace snipehall
