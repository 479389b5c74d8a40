#include "transport/log_read_scheduler.h"

#include <algorithm>

namespace snipehall {

LogReadScheduler::LogReadScheduler(Limits limits)
    : m_limits(limits),
      m_timeout_margin(limits.timeout_margin),
      m_retry_delay(limits.min_retry_delay) {}

Milliseconds LogReadScheduler::poll_wait() const {
  return std::max(Milliseconds(0), m_limits.confirmation_interval - m_latency);
}

MonotonicTime LogReadScheduler::Deadline(MonotonicTime sent_at) const {
  return sent_at + poll_wait() + m_timeout_margin;
}

MonotonicTime LogReadScheduler::OnAnswer(MonotonicTime sent_at,
                                         MonotonicTime now,
                                         bool has_records) {
  const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - sent_at);
  // New records end the wait early, so `elapsed` is only an upper bound of the
  // latency.
  m_latency = has_records ? std::min(m_latency, elapsed)
                          : std::max(Milliseconds(0), elapsed - poll_wait());
  m_timeout_margin = std::clamp(2 * elapsed, m_limits.timeout_margin,
                                m_limits.max_timeout_margin);
  m_retry_delay = m_limits.min_retry_delay;
  return sent_at + m_limits.min_read_interval;
}

MonotonicTime LogReadScheduler::OnFailure(MonotonicTime now, bool timed_out) {
  if (timed_out) {
    m_timeout_margin =
        std::min(2 * m_timeout_margin, m_limits.max_timeout_margin);
    return now;
  }
  const MonotonicTime next = now + m_retry_delay;
  m_retry_delay = std::min(2 * m_retry_delay, m_limits.max_retry_delay);
  return next;
}

}  // namespace snipehall
