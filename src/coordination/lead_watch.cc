#include "coordination/lead_watch.h"

namespace snipehall {

void LeadWatch::OnLead(std::string_view lead) {
  if (lead != m_lead) {
    m_lead = lead;
    Restart();
  }
}

void LeadWatch::OnServing(std::string_view from, bool faster) {
  if (from == m_lead) {
    m_faster = faster;
    Restart();
  }
}

void LeadWatch::OnNotServing(std::string_view from) {
  if (from == m_lead) {
    m_unanswered = kUnanswered + 1;
  }
}

void LeadWatch::Restart() {
  m_unanswered = 0;
  m_patience = static_cast<int>(m_random() % 2);
}

}  // namespace snipehall
