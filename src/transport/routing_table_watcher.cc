#include "transport/routing_table_watcher.h"

namespace snipehall {

Task<bool> RoutingTableWatcher::Wait(ActiveRequest& request,
                                     LogOffset known_offset,
                                     MonotonicTime deadline) {
  if (m_waiters.size() >= kMaxWaitingRequests) {
    co_return false;
  }
  Waiter waiter;
  waiter.request = &request;
  waiter.known_offset = known_offset;
  waiter.deadline = deadline;
  const auto position = m_waiters.insert(m_waiters.end(), waiter);
  StartPolling();
  while (!position->done && !request.is_cancelled()) {
    co_await request.event.Wait();
  }
  m_waiters.erase(position);
  co_return true;
}

void RoutingTableWatcher::Close() {
  m_timer.cancel();
}

void RoutingTableWatcher::StartPolling() {
  if (m_polling) {
    return;
  }
  m_polling = true;
  m_timer.expires_after(kPollInterval);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    m_polling = false;
    if (!error) {
      Poll();
    }
  });
}

void RoutingTableWatcher::Poll() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  const LogOffset offset = m_services.Refresh(now)->offset;
  bool waiting = false;
  for (Waiter& waiter : m_waiters) {
    if (!waiter.done &&
        (offset > waiter.known_offset || now >= waiter.deadline)) {
      waiter.done = true;
      waiter.request->event.Notify();
    }
    waiting = waiting || !waiter.done;
  }
  if (waiting) {
    StartPolling();
  }
}

}  // namespace snipehall
