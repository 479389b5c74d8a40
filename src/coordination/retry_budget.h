#pragma once

#include <algorithm>

namespace snipehall {

// Token bucket that limits retries to a share of the requests, so that retries
// cannot multiply the load on a service that is already failing.
class RetryBudget {
 public:
  // Retries added to the budget by each request.
  static constexpr double kRetriesPerRequest = 0.1;
  // Maximum number of retries in the budget. Also its initial value, so that
  // the first requests after a start may be retried.
  static constexpr double kMaxBalance = 20;

  // Call once for each request, not for its retries.
  void OnRequest() {
    m_balance = std::min(m_balance + kRetriesPerRequest, kMaxBalance);
  }

  // Takes one retry from the budget. Returns false if none is left.
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
