#include "coordination/target_load_collector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipehall {

namespace {

// Factor by which the weight of earlier responses falls for `responses` new
// ones, so that about `sample` responses count.
double Decay(double sample, double responses) {
  return std::exp(-responses / sample);
}

}  // namespace

double TargetLoadCollector::Entry::Time() const {
  const double assumed = kPriorResponses - known_responses;
  return (slow_time + assumed) / (slow_responses + assumed);
}

double TargetLoadCollector::Entry::PartTime(double responses,
                                            double time) const {
  const double assumed = std::max(0.0, kPriorResponses - responses);
  return (time + assumed * Time()) / (responses + assumed);
}

void TargetLoadCollector::AddResponses(Entry& entry,
                                       const TargetLoadSample& sample) {
  const double responses = sample.responses;
  const double time = sample.relative_time_sum;
  entry.known_responses =
      std::min(entry.known_responses + responses, kPriorResponses);
  const double slow_decay = Decay(kSlowSample, responses);
  entry.slow_responses = entry.slow_responses * slow_decay + responses;
  entry.slow_time = entry.slow_time * slow_decay + time;
  const double light_responses = responses - sample.busy_responses;
  const double light_decay = Decay(kSlowSample, light_responses);
  entry.light_responses = entry.light_responses * light_decay + light_responses;
  entry.light_time =
      entry.light_time * light_decay + time - sample.busy_time_sum;
  const double busy_decay = Decay(kSlowSample, sample.busy_responses);
  entry.busy_responses =
      entry.busy_responses * busy_decay + sample.busy_responses;
  entry.busy_time = entry.busy_time * busy_decay + sample.busy_time_sum;
  const double fast_decay = Decay(kFastSample, responses);
  entry.fast_responses = entry.fast_responses * fast_decay + responses;
  entry.fast_time = entry.fast_time * fast_decay + time;
  if (entry.fast_responses < kFastSample / 2) {
    return;
  }
  const double fast = entry.fast_time / entry.fast_responses;
  const double slow = entry.slow_time / entry.slow_responses;
  if (fast > slow * kChangeFactor || slow > fast * kChangeFactor) {
    entry.slow_responses = entry.fast_responses;
    entry.slow_time = entry.fast_time;
  }
}

void TargetLoadCollector::OnReport(MonotonicTime now,
                                   std::span<const TargetLoadSample> samples) {
  for (const TargetLoadSample& sample : samples) {
    Entry& entry = m_targets[sample.target];
    const MonotonicTime loaded_at = now - sample.age;
    if (sample.slots > 0 &&
        (!entry.loaded_at || *entry.loaded_at < loaded_at)) {
      entry.outstanding = sample.outstanding;
      entry.slots = sample.slots;
      entry.loaded_at = loaded_at;
    }
    if (sample.responses > 0) {
      entry.responded_at = now;
      AddResponses(entry, sample);
    }
  }
}

void TargetLoadCollector::Normalize(MonotonicTime now,
                                    const TargetList& targets) {
  std::erase_if(m_targets, [&targets](const auto& item) {
    return !targets.contains(item.first);
  });
  struct Sum {
    double time = 0;
    double targets = 0;
  };
  std::map<std::string_view, Sum> sums;
  for (auto& [id, entry] : m_targets) {
    if (now - entry.responded_at >= kForgetTime) {
      entry.slow_responses = entry.slow_time = 0;
      entry.fast_responses = entry.fast_time = 0;
      entry.light_responses = entry.light_time = 0;
      entry.busy_responses = entry.busy_time = 0;
      entry.known_responses = 0;
    }
    if (entry.known_responses <= 0) {
      continue;
    }
    Sum& sum = sums[targets.find(id)->second.service];
    sum.time += entry.Time();
    sum.targets += 1;
  }
  for (auto& [id, entry] : m_targets) {
    const Sum& sum = sums[targets.find(id)->second.service];
    if (entry.known_responses <= 0) {
      entry.relative_time = 1;
      entry.relative_light_time = 1;
      entry.relative_busy_time = 1;
      continue;
    }
    const double scale = sum.targets / sum.time;
    entry.relative_time = entry.Time() * scale;
    entry.relative_light_time =
        entry.PartTime(entry.light_responses, entry.light_time) * scale;
    entry.relative_busy_time =
        entry.PartTime(entry.busy_responses, entry.busy_time) * scale;
  }
}

TargetLoadSummary TargetLoadCollector::Summarize(MonotonicTime now,
                                                 const TargetId& id,
                                                 const Entry& entry) {
  TargetLoadSummary summary;
  summary.target = id;
  summary.relative_time = entry.relative_time;
  summary.light_time = entry.relative_light_time;
  summary.busy_time = entry.relative_busy_time;
  if (entry.loaded_at && now - *entry.loaded_at < kMaxAge) {
    summary.outstanding = entry.outstanding;
    summary.slots = entry.slots;
    summary.age =
        std::chrono::duration_cast<Milliseconds>(now - *entry.loaded_at);
  }
  return summary;
}

bool TargetLoadCollector::IsFull(MonotonicTime now, const Entry& entry) {
  return entry.loaded_at && now - *entry.loaded_at < kMaxAge &&
         entry.outstanding >= entry.slots;
}

std::vector<TargetLoadSummary> TargetLoadCollector::NextSummary(
    MonotonicTime now,
    const TargetList& targets,
    const std::set<ServiceName, std::less<>>& keyed_services) {
  Normalize(now, targets);
  std::vector<TargetLoadSummary> summary;
  auto next = m_targets.lower_bound(m_next);
  for (std::size_t i = 0;
       i < m_targets.size() && summary.size() < kMaxSummaryTargets; ++i) {
    if (next == m_targets.end()) {
      next = m_targets.begin();
    }
    const auto& [id, entry] = *next;
    const bool is_keyed =
        keyed_services.contains(targets.find(id)->second.service);
    if (!is_keyed || IsFull(now, entry)) {
      summary.push_back(Summarize(now, id, entry));
    }
    ++next;
  }
  m_next = next == m_targets.end() ? TargetId() : next->first;
  return summary;
}

double TargetLoadCollector::RelativeTime(std::string_view target) const {
  const auto found = m_targets.find(target);
  return found == m_targets.end() ? 1 : found->second.relative_time;
}

std::map<ServiceName, std::pair<double, double>>
TargetLoadCollector::RelativeTimeBounds(const TargetList& targets) const {
  std::map<ServiceName, std::pair<double, double>> bounds;
  for (const auto& [id, entry] : m_targets) {
    const auto target = targets.find(id);
    if (target == targets.end()) {
      continue;
    }
    const auto [found, added] = bounds.try_emplace(
        target->second.service, entry.relative_time, entry.relative_time);
    auto& [least, greatest] = found->second;
    least = std::min(least, entry.relative_time);
    greatest = std::max(greatest, entry.relative_time);
  }
  return bounds;
}

}  // namespace snipehall
