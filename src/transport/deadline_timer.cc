#include "transport/deadline_timer.h"

#include <utility>

namespace snipehall {

void DeadlineTimer::Arm(MonotonicTime deadline) {
  m_deadline = deadline;
  if (deadline < m_fires_at) {
    Start();
  }
}

void DeadlineTimer::Close() {
  Disarm();
  m_on_expiry = nullptr;
  m_timer.cancel();
}

void DeadlineTimer::Start() {
  m_fires_at = m_deadline;
  m_timer.expires_at(m_deadline);
  m_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        self->m_fires_at = MonotonicTime::max();
        if (self->m_deadline == MonotonicTime::max()) {
          return;
        }
        if (std::chrono::steady_clock::now() < self->m_deadline) {
          self->Start();
          return;
        }
        self->Disarm();
        if (self->m_on_expiry) {
          self->m_on_expiry();
        }
      });
}

}  // namespace snipehall
