#pragma once

#include <functional>
#include <memory>

#include "state/types.h"
#include "transport/asio_types.h"

namespace snipehall {

// Calls a function when a deadline expires. Postponing the deadline does not
// touch the timer queue: the pending wait is restarted only when it completes
// early. This keeps timers cheap on connections with many short requests. Must
// be owned by a std::shared_ptr and used on one thread.
class DeadlineTimer : public std::enable_shared_from_this<DeadlineTimer> {
 public:
  DeadlineTimer(const Executor& executor, std::function<void()> on_expiry)
      : m_timer(executor), m_on_expiry(std::move(on_expiry)) {}

  // Sets the deadline, replacing the previous one.
  void Arm(MonotonicTime deadline);
  // Clears the deadline; Arm() may set a new one.
  void Disarm() { m_deadline = MonotonicTime::max(); }
  // Disarms the timer permanently and releases the callback. Must be called
  // before objects used by the callback are destroyed.
  void Close();

 private:
  void Start();

  Timer m_timer;
  std::function<void()> m_on_expiry;
  MonotonicTime m_deadline = MonotonicTime::max();
  // Expiry time of the pending wait; max() if no wait is pending.
  MonotonicTime m_fires_at = MonotonicTime::max();
};

}  // namespace snipehall
