#include "coordination/key_load.h"

#include <algorithm>
#include <cmath>

namespace snipehall {

namespace {

double ToSeconds(MonotonicTime::duration time) {
  return std::chrono::duration<double>(time).count();
}

// Number of decay times after which the reference time of the weights is moved,
// before the weights grow too large.
constexpr double kMaxDecayTimes = 20;

// Keys below this rate are removed, requests per second.
constexpr double kMinTrackedRate = 0.01;

// Factor by which the older sample of a target decays for every five new
// responses.
constexpr double kSampleDecay = 0.9;

}  // namespace

double KeyLoad::RateScale(MonotonicTime now) const {
  const double decay_seconds = ToSeconds(kDecayTime);
  return std::exp(-ToSeconds(now - m_reference_time) / decay_seconds) /
         decay_seconds;
}

void KeyLoad::Rebase(MonotonicTime now) {
  if (!m_weights.empty() && ToSeconds(now - m_reference_time) <
                                kMaxDecayTimes * ToSeconds(kDecayTime)) {
    return;
  }
  const double factor =
      std::exp(-ToSeconds(now - m_reference_time) / ToSeconds(kDecayTime));
  const double min_weight = kMinTrackedRate * ToSeconds(kDecayTime);
  for (auto& [key, weight] : m_weights) {
    weight *= factor;
  }
  std::erase_if(m_weights, [min_weight](const auto& item) {
    return item.second < min_weight;
  });
  m_reference_time = now;
}

void KeyLoad::OnReport(MonotonicTime now, const KeyLoadReport& report) {
  Rebase(now);
  const double weight =
      report.requests_per_key *
      std::exp(ToSeconds(now - m_reference_time) / ToSeconds(kDecayTime));
  for (const KeyNumber key : report.keys) {
    m_weights[key] += weight;
  }
  for (const TargetTimes& times : report.targets) {
    ServiceTimeSample& sample = m_service_times[times.target];
    const double decay = std::pow(kSampleDecay, times.answers / 5.0);
    sample.answers = sample.answers * decay + times.answers;
    sample.seconds = sample.seconds * decay + ToSeconds(times.time);
  }
}

double KeyLoad::Rate(MonotonicTime now, KeyNumber first, KeyNumber last) const {
  double sum = 0;
  for (auto it = m_weights.lower_bound(first);
       it != m_weights.end() && it->first <= last; ++it) {
    sum += it->second;
  }
  return sum * RateScale(now);
}

std::vector<std::pair<KeyNumber, double>> KeyLoad::Rates(MonotonicTime now,
                                                         KeyNumber first,
                                                         KeyNumber last) const {
  const double scale = RateScale(now);
  std::vector<std::pair<KeyNumber, double>> result;
  for (auto it = m_weights.lower_bound(first);
       it != m_weights.end() && it->first <= last; ++it) {
    result.emplace_back(it->first, it->second * scale);
  }
  return result;
}

double KeyLoad::MeanServiceSeconds() const {
  double answers = 0;
  double seconds = 0;
  for (const auto& [target, sample] : m_service_times) {
    answers += sample.answers;
    seconds += sample.seconds;
  }
  return answers < 1 ? kDefaultServiceSeconds : seconds / answers;
}

double KeyLoad::ServiceSeconds(std::string_view target) const {
  const double mean = MeanServiceSeconds();
  const auto found = m_service_times.find(target);
  if (found == m_service_times.end()) {
    return mean;
  }
  // Missing responses count with the mean service time of all targets.
  const double answers = std::max(found->second.answers, kMinSampleAnswers);
  const double missing = answers - found->second.answers;
  return (found->second.seconds + missing * mean) / answers;
}

}  // namespace snipehall
