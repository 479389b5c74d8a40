#include "transport/read_pace.h"

#include <algorithm>

namespace snipehall {

ReadPace::ReadPace(Limits limits)
    : m_limits(limits),
      m_allowance(limits.allowance),
      m_pause(limits.shortest_pause) {}

Milliseconds ReadPace::wait() const {
  return std::max(Milliseconds(0), m_limits.confirmation_interval - m_latency);
}

MonotonicTime ReadPace::Deadline(MonotonicTime began) const {
  return began + wait() + m_allowance;
}

MonotonicTime ReadPace::OnAnswer(MonotonicTime began,
                                 MonotonicTime now,
                                 bool news) {
  const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - began);
  // News end the wait early, so that the time taken is only an upper bound.
  m_latency = news ? std::min(m_latency, elapsed)
                   : std::max(Milliseconds(0), elapsed - wait());
  m_allowance =
      std::clamp(2 * elapsed, m_limits.allowance, m_limits.longest_allowance);
  m_pause = m_limits.shortest_pause;
  return began + m_limits.spacing;
}

MonotonicTime ReadPace::OnFailure(MonotonicTime now, bool timed_out) {
  if (timed_out) {
    m_allowance = std::min(2 * m_allowance, m_limits.longest_allowance);
    return now;
  }
  const MonotonicTime next = now + m_pause;
  m_pause = std::min(2 * m_pause, m_limits.longest_pause);
  return next;
}

}  // namespace snipehall
