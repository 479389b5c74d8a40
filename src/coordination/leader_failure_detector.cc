#include "coordination/leader_failure_detector.h"

namespace snipehall {

void LeaderFailureDetector::OnLeader(std::string_view leader) {
  if (leader != m_leader) {
    m_leader = leader;
    Reset();
  }
}

void LeaderFailureDetector::OnServing(std::string_view from, bool faster) {
  if (from == m_leader) {
    m_faster = faster;
    Reset();
  }
}

void LeaderFailureDetector::OnNotServing(std::string_view from) {
  if (from == m_leader) {
    m_unanswered = kMaxUnansweredReports + 1;
  }
}

void LeaderFailureDetector::Reset() {
  m_unanswered = 0;
  m_jitter_reports = static_cast<int>(m_random() % 2);
}

}  // namespace snipehall
