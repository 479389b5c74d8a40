#include "coordination/instance_counter.h"

#include <algorithm>

namespace snipehall {

void InstanceCounter::OnReport(MonotonicTime now, std::string_view instance) {
  std::erase_if(m_reports, [now](const auto& report) {
    return now - report.second > kReportLifetime;
  });
  if (m_reports.empty()) {
    m_counting_since = now;
  }
  m_reports.insert_or_assign(InstanceId(instance), now);
}

void InstanceCounter::OnLeaderCount(int count) {
  m_reports.clear();
  m_leader_count = count;
}

std::optional<int> InstanceCounter::Count(MonotonicTime now) const {
  const int reports = static_cast<int>(m_reports.size());
  const bool has_count = m_leader_count > 0;
  if (reports == 0) {
    return has_count ? std::optional(m_leader_count) : std::nullopt;
  }
  const auto counted_for = now - m_counting_since;
  if (has_count && counted_for < kReportLifetime) {
    return std::max(reports, m_leader_count);
  }
  if (!has_count && counted_for < kSettleTime) {
    return std::nullopt;
  }
  return reports;
}

}  // namespace snipehall
