#pragma once

#include <functional>
#include <memory>

#include "state/types.h"
#include "transport/asio_types.h"

namespace snipehall {

// Calls a function once a deadline has passed. A later deadline costs nothing
// to set: the timer that runs already is extended when it fires, so a
// connection with many short requests rarely touches the timer queue.
class DeadlineTimer : public std::enable_shared_from_this<DeadlineTimer> {
 public:
  DeadlineTimer(const Executor& executor, std::function<void()> on_expiry)
      : m_timer(executor), m_on_expiry(std::move(on_expiry)) {}

  // Replaces the deadline.
  void Arm(MonotonicTime deadline);
  void Disarm() { m_deadline = MonotonicTime::max(); }
  // Disarms for good and drops the function.
  void Close();

 private:
  void Start();

  Timer m_timer;
  std::function<void()> m_on_expiry;
  MonotonicTime m_deadline = MonotonicTime::max();
  // When the running timer fires; max() while none runs.
  MonotonicTime m_fires_at = MonotonicTime::max();
};

}  // namespace snipehall
