#pragma once

#include <cstddef>
#include <list>

#include "transport/active_request.h"
#include "transport/service_state.h"

namespace snipehall {

// Lets requests wait for a newer routing table. The table is published by
// another thread without a signal, so it is polled, but only while a request
// waits.
class TableWatch {
 public:
  static constexpr Milliseconds kPollInterval{2};

  TableWatch(const Executor& executor, ServiceStates& states)
      : m_timer(executor), m_states(states) {}

  // Requests that may wait at a time.
  static constexpr std::size_t kLimit = 4096;

  // Returns true once the table's offset is above `seen`, `until` has passed,
  // or the request is interrupted; false at once when too many requests wait.
  Task<bool> Wait(ActiveRequest& request, LogOffset seen, MonotonicTime until);

  void Close();

 private:
  struct Waiter {
    ActiveRequest* request = nullptr;
    LogOffset seen = 0;
    MonotonicTime until;
    bool done = false;
  };

  void StartPolling();
  void Poll();

  Timer m_timer;
  ServiceStates& m_states;
  std::list<Waiter> m_waiters;
  bool m_polling = false;
};

}  // namespace snipehall
