#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "coordination/key_load.h"

namespace snipehall {

// Collects the load of the keyed services that this instance sees between two
// reports to the leader.
class KeyLoadRecorder {
 public:
  // Maximum number of keys in a report, so that it fits in one datagram. With
  // more requests, every n-th key is reported.
  static constexpr std::size_t kMaxKeys = 256;
  // Maximum number of targets in a report.
  static constexpr std::size_t kMaxTargets = 24;

  // Call for each request of a keyed service.
  void OnRequest(std::string_view service, KeyNumber key);
  // Call for each response that the target gave without queueing; `time` is its
  // service time.
  void OnAnswer(std::string_view service,
                std::string_view target,
                Milliseconds time);

  // Returns one report for each service with requests or responses since the
  // last call, and starts a new interval.
  std::vector<KeyLoadReport> TakeReports();

 private:
  struct Service {
    std::vector<KeyNumber> keys;
    std::map<TargetId, TargetTimes, std::less<>> targets;
  };

  Service& Find(std::string_view service);

  std::map<ServiceName, Service, std::less<>> m_services;
};

}  // namespace snipehall
