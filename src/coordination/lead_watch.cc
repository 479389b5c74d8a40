#include "coordination/lead_watch.h"

namespace snipehall {

void LeadWatch::OnLead(std::string_view lead) {
  if (lead != m_lead) {
    m_lead = lead;
    Reset();
  }
}

void LeadWatch::OnServing(std::string_view from, bool faster) {
  if (from == m_lead) {
    m_faster = faster;
    Reset();
  }
}

void LeadWatch::OnNotServing(std::string_view from) {
  if (from == m_lead) {
    m_unanswered = kMaxUnansweredReports + 1;
  }
}

void LeadWatch::Reset() {
  m_unanswered = 0;
  m_jitter_reports = static_cast<int>(m_random() % 2);
}

}  // namespace snipehall
