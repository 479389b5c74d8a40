#include "coordination/key_load_recorder.h"

#include <utility>

namespace snipehall {

KeyLoadRecorder::Service& KeyLoadRecorder::Find(std::string_view service) {
  const auto found = m_services.find(service);
  return found != m_services.end() ? found->second
                                   : m_services[ServiceName(service)];
}

void KeyLoadRecorder::OnRequest(std::string_view service, KeyNumber key) {
  Find(service).keys.push_back(key);
}

void KeyLoadRecorder::OnAnswer(std::string_view service,
                               std::string_view target,
                               Milliseconds time) {
  TargetTimes& times = Find(service).targets[TargetId(target)];
  times.target = target;
  ++times.answers;
  times.time += time;
}

std::vector<KeyLoadReport> KeyLoadRecorder::TakeReports() {
  std::vector<KeyLoadReport> reports;
  for (auto& [name, service] : m_services) {
    if (service.keys.empty() && service.targets.empty()) {
      continue;
    }
    KeyLoadReport report;
    report.service = name;
    const std::size_t step = service.keys.size() / kMaxKeys + 1;
    report.requests_per_key = static_cast<std::uint32_t>(step);
    for (std::size_t i = 0; i < service.keys.size(); i += step) {
      report.keys.push_back(service.keys[i]);
    }
    for (auto& [id, times] : service.targets) {
      if (report.targets.size() < kMaxTargets) {
        report.targets.push_back(std::move(times));
      }
    }
    service.keys.clear();
    service.targets.clear();
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace snipehall
