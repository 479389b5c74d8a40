#include "coordination/key_load.h"

#include <algorithm>
#include <cmath>

namespace snipehall {

namespace {

double SecondsOf(MonotonicTime::duration time) {
  return std::chrono::duration<double>(time).count();
}

// Weights are brought back to the present before they grow beyond this many
// times the memory.
constexpr double kRebaseAfter = 20;

// A key below this many requests a second is forgotten.
constexpr double kForgottenRate = 0.01;

// Part of the older sample that stays when a target's answers are added.
constexpr double kSpeedDecay = 0.9;

}  // namespace

double KeyLoad::Scale(MonotonicTime now) const {
  const double memory = SecondsOf(kMemory);
  return std::exp(-SecondsOf(now - m_base) / memory) / memory;
}

void KeyLoad::Rebase(MonotonicTime now) {
  if (!m_weights.empty() &&
      SecondsOf(now - m_base) < kRebaseAfter * SecondsOf(kMemory)) {
    return;
  }
  const double factor = std::exp(-SecondsOf(now - m_base) / SecondsOf(kMemory));
  const double least = kForgottenRate * SecondsOf(kMemory);
  for (auto& [key, weight] : m_weights) {
    weight *= factor;
  }
  std::erase_if(m_weights,
                [least](const auto& item) { return item.second < least; });
  m_base = now;
}

void KeyLoad::OnReport(MonotonicTime now, const KeyLoadReport& report) {
  Rebase(now);
  const double weight = report.requests_per_key *
                        std::exp(SecondsOf(now - m_base) / SecondsOf(kMemory));
  for (const KeyNumber key : report.keys) {
    m_weights[key] += weight;
  }
  for (const TargetTimes& times : report.targets) {
    Speed& speed = m_speeds[times.target];
    const double decay = std::pow(kSpeedDecay, times.answers / 5.0);
    speed.answers = speed.answers * decay + times.answers;
    speed.seconds = speed.seconds * decay + SecondsOf(times.time);
  }
}

double KeyLoad::Rate(MonotonicTime now, KeyNumber first, KeyNumber last) const {
  double sum = 0;
  for (auto it = m_weights.lower_bound(first);
       it != m_weights.end() && it->first <= last; ++it) {
    sum += it->second;
  }
  return sum * Scale(now);
}

std::vector<std::pair<KeyNumber, double>> KeyLoad::Rates(MonotonicTime now,
                                                         KeyNumber first,
                                                         KeyNumber last) const {
  const double scale = Scale(now);
  std::vector<std::pair<KeyNumber, double>> result;
  for (auto it = m_weights.lower_bound(first);
       it != m_weights.end() && it->first <= last; ++it) {
    result.emplace_back(it->first, it->second * scale);
  }
  return result;
}

double KeyLoad::MeanSeconds() const {
  double answers = 0;
  double seconds = 0;
  for (const auto& [target, speed] : m_speeds) {
    answers += speed.answers;
    seconds += speed.seconds;
  }
  return answers < 1 ? kDefaultSeconds : seconds / answers;
}

double KeyLoad::Seconds(std::string_view target) const {
  const double mean = MeanSeconds();
  const auto found = m_speeds.find(target);
  if (found == m_speeds.end()) {
    return mean;
  }
  // The mean of all stands in for the answers that are missing.
  const double answers = std::max(found->second.answers, kSpeedSample);
  const double missing = answers - found->second.answers;
  return (found->second.seconds + missing * mean) / answers;
}

}  // namespace snipehall
