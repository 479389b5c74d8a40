#include "coordination/target_reachability.h"

#include <algorithm>

namespace snipehall {

void TargetReachability::OnConnected(MonotonicTime now) {
  m_cut_off = false;
  m_suspected = false;
  m_connected_at = now;
  m_heard_at = std::max(m_heard_at, now);
}

void TargetReachability::OnConnectFailed(MonotonicTime began_at) {
  m_suspected = m_suspected || m_connected_at < began_at;
}

void TargetReachability::OnRequestSent(MonotonicTime now) {
  if (m_requests++ == 0) {
    m_heard_at = std::max(m_heard_at, now);
  }
}

void TargetReachability::OnRequestEnded(MonotonicTime now, bool has_response) {
  --m_requests;
  if (has_response) {
    m_heard_at = std::max(m_heard_at, now);
  }
}

int TargetReachability::ProbesDue(MonotonicTime now) const {
  if (m_probes > 0 || now < m_round_began_at + kProbeInterval) {
    return 0;
  }
  if (m_cut_off || m_suspected) {
    return kConfirmingProbes;
  }
  return m_requests > 0 && now >= m_heard_at + kSilenceTime ? 1 : 0;
}

void TargetReachability::OnProbesStarted(MonotonicTime now,
                                         int count,
                                         bool confirming) {
  m_probes = count;
  m_confirming = confirming;
  m_round_began_at = now;
}

void TargetReachability::OnProbeEnded(MonotonicTime now, bool connected) {
  --m_probes;
  if (connected) {
    OnConnected(now);
    return;
  }
  OnConnectFailed(m_round_began_at);
  if (m_probes > 0 || !m_suspected) {
    return;
  }
  m_cut_off = m_cut_off || m_confirming;
  if (!m_confirming) {
    // The confirming round follows at once.
    m_round_began_at = MonotonicTime();
  }
}

}  // namespace snipehall
