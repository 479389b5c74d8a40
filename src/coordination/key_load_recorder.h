#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "coordination/key_load.h"

namespace snipehall {

// Collects what an instance sees of the keyed services between two reports.
class KeyLoadRecorder {
 public:
  // Keys in a report at the most, so that it fits one datagram.
  static constexpr std::size_t kKeys = 256;
  // Targets in a report at the most.
  static constexpr std::size_t kTargets = 24;

  void OnRequest(std::string_view service, KeyNumber key);
  // An answer that the target gave without a queue.
  void OnAnswer(std::string_view service,
                std::string_view target,
                Milliseconds time);

  // The reports since the last call; services without requests have none.
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
