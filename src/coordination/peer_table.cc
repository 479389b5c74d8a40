#include "coordination/peer_table.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "coordination/clock_drift.h"

namespace snipehall {

namespace {

// Maximum number of offsets kept per peer. If older ones are dropped, a later
// time is assumed for them.
constexpr std::size_t kMaxReadHistory = 64;

void AddRead(PeerStatus& status, MonotonicTime now, LogOffset offset) {
  if (offset <= status.offset()) {
    return;
  }
  status.reads.push_back({now, offset});
  if (status.reads.size() > kMaxReadHistory) {
    status.reads.pop_front();
  }
}

}  // namespace

std::optional<MonotonicTime> PeerStatus::ReadKnownAt(LogOffset offset) const {
  const auto step = std::lower_bound(
      reads.begin(), reads.end(), offset,
      [](const Read& read, LogOffset wanted) { return read.offset < wanted; });
  if (step == reads.end()) {
    return std::nullopt;
  }
  return step->known;
}

PeerTable::PeerTable(InstanceId self,
                     Incarnation incarnation,
                     int max_drift_per_mille)
    : m_self(std::move(self)), m_max_drift_per_mille(max_drift_per_mille) {
  m_peers[m_self].incarnation = incarnation;
}

void PeerTable::OnHeartbeat(MonotonicTime now, const Heartbeat& heartbeat) {
  if (heartbeat.from != m_self) {
    Update(now, heartbeat);
  }
}

void PeerTable::OnAnswer(MonotonicTime sent,
                         MonotonicTime now,
                         const Heartbeat& answer) {
  if (answer.from == m_self) {
    return;
  }
  PeerStatus& status = Update(now, answer);
  if (!status.answered || sent >= *status.answered) {
    status.answered = sent;
    status.answered_offset = answer.offset;
    status.confirmed = answer.confirmed;
  }
}

void PeerTable::UpdateSelf(MonotonicTime now, LogOffset offset) {
  PeerStatus& status = m_peers[m_self];
  if (!status.answered) {
    status.first_heard = now;
  }
  status.last_heard = now;
  status.answered = now;
  status.answered_offset = offset;
  AddRead(status, now, offset);
}

const PeerStatus* PeerTable::Find(std::string_view peer) const {
  const auto found = m_peers.find(peer);
  return found == m_peers.end() ? nullptr : &found->second;
}

bool PeerTable::IsUnresponsive(std::string_view peer,
                               MonotonicTime now,
                               std::chrono::nanoseconds limit) const {
  const PeerStatus* status = Find(peer);
  return status == nullptr || now - status->last_heard > limit;
}

bool PeerTable::MajorityHasRead(std::span<const InstanceId> members,
                                LogOffset offset) const {
  std::vector<std::pair<MonotonicTime, MonotonicTime>> spans;
  for (const InstanceId& member : members) {
    const PeerStatus* status = Find(member);
    if (status == nullptr || !status->answered) {
      continue;
    }
    const std::optional<MonotonicTime> known = status->ReadKnownAt(offset);
    if (known && *known <= *status->answered) {
      spans.emplace_back(*known, *status->answered);
    }
  }
  return std::any_of(spans.begin(), spans.end(), [&](const auto& moment) {
    const auto covering =
        std::count_if(spans.begin(), spans.end(), [&](const auto& span) {
          return span.first <= moment.first && moment.first <= span.second;
        });
    return static_cast<std::size_t>(covering) >= MajoritySize(members.size());
  });
}

PeerStatus& PeerTable::Update(MonotonicTime now, const Heartbeat& heartbeat) {
  PeerStatus& status = m_peers[heartbeat.from];
  if (status.incarnation != heartbeat.incarnation || status.reads.empty()) {
    status = PeerStatus();
    status.incarnation = heartbeat.incarnation;
    status.first_heard = now;
  }
  status.last_heard = now;
  status.leaving = heartbeat.leaving;
  if (heartbeat.offset >= status.offset()) {
    status.lease_ends.clear();
    for (const auto& [target, left_ms] : heartbeat.lease_remaining_ms) {
      status.lease_ends[target] =
          now + WithDrift(Milliseconds(left_ms), m_max_drift_per_mille);
    }
  }
  AddRead(status, now, heartbeat.offset);
  return status;
}

}  // namespace snipehall
