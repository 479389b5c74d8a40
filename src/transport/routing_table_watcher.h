#pragma once

#include <cstddef>
#include <list>

#include "transport/active_request.h"
#include "transport/service_state.h"

namespace snipehall {

// Lets requests wait for a newer routing table. Another thread publishes the
// table without a notification, so it is polled while any request waits.
class RoutingTableWatcher {
 public:
  static constexpr Milliseconds kPollInterval{2};

  RoutingTableWatcher(const Executor& executor, ServiceRegistry& services)
      : m_timer(executor), m_services(services) {}

  // Maximum number of waiting requests.
  static constexpr std::size_t kMaxWaitingRequests = 4096;

  // Waits until the table's offset exceeds `known_offset`, `deadline` has
  // passed or the request is cancelled, and returns true. Returns false
  // immediately if too many requests are waiting.
  Task<bool> Wait(ActiveRequest& request,
                  LogOffset known_offset,
                  MonotonicTime deadline);

  // Stops polling. Waiting requests must be cancelled separately.
  void Close();

 private:
  struct Waiter {
    ActiveRequest* request = nullptr;
    LogOffset known_offset = 0;
    MonotonicTime deadline;
    bool done = false;
  };

  void StartPolling();
  void Poll();

  Timer m_timer;
  ServiceRegistry& m_services;
  std::list<Waiter> m_waiters;
  bool m_polling = false;
};

}  // namespace snipehall
