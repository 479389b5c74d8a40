#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "state/key_table.h"
#include "state/types.h"

namespace snipehall {

// Service times of one target in a reporting interval, as one instance measured
// them.
struct TargetTimes {
  TargetId target;
  // Number of responses that the target gave without queueing, and the sum of
  // their service times.
  std::uint32_t answers = 0;
  Milliseconds time{0};

  bool operator==(const TargetTimes&) const = default;
};

// Load of a keyed service in a reporting interval, as one instance measured it.
struct KeyLoadReport {
  ServiceName service;
  // The key of each request, in any order.
  std::vector<KeyNumber> keys;
  // Number of requests that each entry of `keys` represents; above one when the
  // keys were sampled to fit a report.
  std::uint32_t requests_per_key = 1;
  std::vector<TargetTimes> targets;

  bool operator==(const KeyLoadReport&) const = default;
};

// Estimates the request rates of the keys and the service times of the targets
// of one keyed service from the reports of all instances. Older reports count
// exponentially less.
class KeyLoad {
 public:
  // Time after which the weight of a request has decayed to about a third
  // (1/e). Short, since busy keys change within seconds.
  static constexpr Milliseconds kDecayTime{2500};
  // Number of responses from which on a target's own service time is used
  // alone; with fewer, the mean of all targets replaces the missing ones.
  static constexpr double kMinSampleAnswers = 30;
  // Service time that is assumed while no target has answered, seconds.
  static constexpr double kDefaultServiceSeconds = 0.15;

  // Adds the report of an instance that arrived at `now`.
  void OnReport(MonotonicTime now, const KeyLoadReport& report);

  // Returns the request rate of the keys from `first` to `last` (inclusive),
  // requests per second.
  double Rate(MonotonicTime now, KeyNumber first, KeyNumber last) const;

  // Returns the estimated service time of a request at the target, seconds.
  double ServiceSeconds(std::string_view target) const;

  // Returns the request rates, requests per second, of the keys from `first` to
  // `last` that have any, in ascending order of the keys.
  std::vector<std::pair<KeyNumber, double>> Rates(MonotonicTime now,
                                                  KeyNumber first,
                                                  KeyNumber last) const;

 private:
  // Decayed number of responses, and the sum of their service times in seconds.
  struct ServiceTimeSample {
    double answers = 0;
    double seconds = 0;
  };

  // Returns the factor that converts a stored weight to requests per second at
  // `now`.
  double RateScale(MonotonicTime now) const;
  // Moves m_reference_time to `now` when the weights grow too large, and
  // removes keys with a negligible rate.
  void Rebase(MonotonicTime now);
  // Returns the mean service time over all targets, seconds.
  double MeanServiceSeconds() const;

  // Decayed request counts. New weights grow exponentially with the time since
  // m_reference_time, which spares a decay of all entries at each report.
  std::map<KeyNumber, double> m_weights;
  MonotonicTime m_reference_time;
  std::map<TargetId, ServiceTimeSample, std::less<>> m_service_times;
};

}  // namespace snipehall
