#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "state/key_table.h"
#include "state/types.h"

namespace snipehall {

// How one target answered in a reporting interval.
struct TargetTimes {
  TargetId target;
  // Answers that the target gave without a queue, and their times together.
  std::uint32_t answers = 0;
  Milliseconds time{0};

  bool operator==(const TargetTimes&) const = default;
};

// What one instance saw of a keyed service in a reporting interval.
struct KeyLoadReport {
  ServiceName service;
  // The key of each request, in any order.
  std::vector<KeyNumber> keys;
  // How many requests each key stands for; above one when there were too many
  // for a report.
  std::uint32_t requests_per_key = 1;
  std::vector<TargetTimes> targets;

  bool operator==(const KeyLoadReport&) const = default;
};

// The load of the keys and the speed of the targets of one keyed service, from
// the reports of all instances. Older reports count less.
class KeyLoad {
 public:
  // Time after which a request counts a third of a new one. Short, since busy
  // keys change within seconds.
  static constexpr Milliseconds kMemory{2500};
  // Answers after which a target's speed is known well.
  static constexpr double kSpeedSample = 30;
  // Service time that is assumed of a target without answers.
  static constexpr double kDefaultSeconds = 0.15;

  void OnReport(MonotonicTime now, const KeyLoadReport& report);

  // Requests a second for the keys from `first` to `last`.
  double Rate(MonotonicTime now, KeyNumber first, KeyNumber last) const;

  // Service time of a request at the target, seconds.
  double Seconds(std::string_view target) const;

  // Requests a second by key, in order, for the keys of a range that have any.
  std::vector<std::pair<KeyNumber, double>> Rates(MonotonicTime now,
                                                  KeyNumber first,
                                                  KeyNumber last) const;

 private:
  struct Speed {
    double answers = 0;
    double seconds = 0;
  };

  // What a weight stored now is worth at `now`, as requests a second.
  double Scale(MonotonicTime now) const;
  void Rebase(MonotonicTime now);
  double MeanSeconds() const;

  // Weights grow with time instead of being lowered one by one.
  std::map<KeyNumber, double> m_weights;
  MonotonicTime m_base;
  std::map<TargetId, Speed, std::less<>> m_speeds;
};

}  // namespace snipehall
