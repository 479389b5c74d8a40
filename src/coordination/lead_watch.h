#pragma once

#include <cstdint>
#include <random>
#include <string_view>

#include "state/types.h"

namespace snipehall {

// Decides when an instance tries to become the lead: when the lead leaves
// several reports in a row unanswered, or says that it does not serve.
//
// Reports are counted, not time: an instance that was frozen has not asked
// meanwhile. Each waits for a random number of further ones, so that not all
// try at once; the log lets one of them win.
class LeadWatch {
 public:
  // Unanswered reports after which the lead is taken for lost.
  static constexpr int kUnanswered = 3;

  // Reports for which an instance waits besides when another one has a much
  // faster link: the lead passes every table on, and orders all targets.
  static constexpr int kSlowLinkReports = 2;

  // Reports by which the first attempts are spread when there is no lead yet.
  static constexpr int kFirstSpread = 4;

  explicit LeadWatch(std::uint64_t seed)
      : m_random(seed),
        m_patience(static_cast<int>(m_random() % kFirstSpread)) {}

  // The newest key table names `lead`.
  void OnLead(std::string_view lead);
  void OnReportSent() { ++m_unanswered; }
  // `faster` says that there is an instance with a much faster link.
  void OnServing(std::string_view from, bool faster);
  void OnNotServing(std::string_view from);

  // Whether the instance is to take over now.
  bool IsLost() const {
    const int unanswered = m_lead.empty() ? 0 : kUnanswered;
    const int slow = m_faster ? kSlowLinkReports : 0;
    return m_unanswered > unanswered + m_patience + slow;
  }

 private:
  void Restart();

  std::mt19937_64 m_random;
  InstanceId m_lead;
  int m_unanswered = 0;
  int m_patience = 0;
  bool m_faster = false;
};

}  // namespace snipehall
