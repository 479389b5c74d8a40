#include "transport/table_watch.h"

namespace snipehall {

Task<bool> TableWatch::Wait(ActiveRequest& request,
                            LogOffset seen,
                            MonotonicTime until) {
  if (m_waiters.size() >= kLimit) {
    co_return false;
  }
  Waiter waiter;
  waiter.request = &request;
  waiter.seen = seen;
  waiter.until = until;
  const auto position = m_waiters.insert(m_waiters.end(), waiter);
  StartPolling();
  while (!position->done && !request.interrupted()) {
    co_await request.event.Wait();
  }
  m_waiters.erase(position);
  co_return true;
}

void TableWatch::Close() {
  m_timer.cancel();
}

void TableWatch::StartPolling() {
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

void TableWatch::Poll() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  const LogOffset offset = m_states.Refresh(now)->offset;
  bool waiting = false;
  for (Waiter& waiter : m_waiters) {
    if (!waiter.done && (offset > waiter.seen || now >= waiter.until)) {
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
