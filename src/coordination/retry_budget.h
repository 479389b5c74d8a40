#pragma once

#include <algorithm>

namespace snipehall {

// Limits retries to a share of the requests, so that retries cannot multiply
// the load on a service that already fails.
class RetryBudget {
 public:
  // Retries earned by each request.
  static constexpr double kRetriesPerRequest = 0.1;
  // Retries that may be saved up. Also the initial balance, so that the first
  // requests after a start may be retried.
  static constexpr double kMaxBalance = 20;

  void OnRequest() {
    m_balance = std::min(m_balance + kRetriesPerRequest, kMaxBalance);
  }

  // Takes one retry from the budget; false when none is left.
  bool TryTake() {
    if (m_balance < 1) {
      return false;
    }
    m_balance -= 1;
    return true;
  }

  double balance() const { return m_balance; }

 private:
  double m_balance = kMaxBalance;
};

}  // namespace snipehall
