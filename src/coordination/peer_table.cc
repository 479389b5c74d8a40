#include "coordination/peer_table.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "coordination/drift.h"

namespace snipehall {

namespace {

// Older steps are forgotten; what they showed then counts from a later time.
constexpr std::size_t kReadSteps = 64;

void NoteRead(PeerView& view, MonotonicTime now, LogOffset offset) {
  if (offset <= view.offset()) {
    return;
  }
  view.reads.push_back({now, offset});
  if (view.reads.size() > kReadSteps) {
    view.reads.pop_front();
  }
}

}  // namespace

std::optional<MonotonicTime> PeerView::KnownToHaveRead(LogOffset offset) const {
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
                     int drift_per_mille)
    : m_self(std::move(self)), m_drift_per_mille(drift_per_mille) {
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
  PeerView& view = Update(now, answer);
  if (!view.answered || sent >= *view.answered) {
    view.answered = sent;
    view.answered_offset = answer.offset;
    view.confirmed = answer.confirmed;
  }
}

void PeerTable::NoteSelf(MonotonicTime now, LogOffset offset) {
  PeerView& view = m_peers[m_self];
  if (!view.answered) {
    view.first_heard = now;
  }
  view.last_heard = now;
  view.answered = now;
  view.answered_offset = offset;
  NoteRead(view, now, offset);
}

const PeerView* PeerTable::Find(std::string_view peer) const {
  const auto found = m_peers.find(peer);
  return found == m_peers.end() ? nullptr : &found->second;
}

bool PeerTable::IsSilent(std::string_view peer,
                         MonotonicTime now,
                         std::chrono::nanoseconds limit) const {
  const PeerView* view = Find(peer);
  return view == nullptr || now - view->last_heard > limit;
}

bool PeerTable::MajorityHasRead(std::span<const InstanceId> members,
                                LogOffset offset) const {
  std::vector<std::pair<MonotonicTime, MonotonicTime>> spans;
  for (const InstanceId& member : members) {
    const PeerView* view = Find(member);
    if (view == nullptr || !view->answered) {
      continue;
    }
    const std::optional<MonotonicTime> known = view->KnownToHaveRead(offset);
    if (known && *known <= *view->answered) {
      spans.emplace_back(*known, *view->answered);
    }
  }
  return std::any_of(spans.begin(), spans.end(), [&](const auto& moment) {
    const auto covering =
        std::count_if(spans.begin(), spans.end(), [&](const auto& span) {
          return span.first <= moment.first && moment.first <= span.second;
        });
    return static_cast<std::size_t>(covering) >= MajorityOf(members.size());
  });
}

PeerView& PeerTable::Update(MonotonicTime now, const Heartbeat& heartbeat) {
  PeerView& view = m_peers[heartbeat.from];
  if (view.incarnation != heartbeat.incarnation || view.reads.empty()) {
    view = PeerView();
    view.incarnation = heartbeat.incarnation;
    view.first_heard = now;
  }
  view.last_heard = now;
  view.leaving = heartbeat.leaving;
  if (heartbeat.offset >= view.offset()) {
    view.lease_ends.clear();
    for (const auto& [target, left_ms] : heartbeat.lease_remaining_ms) {
      view.lease_ends[target] =
          now + WithDrift(Milliseconds(left_ms), m_drift_per_mille);
    }
  }
  NoteRead(view, now, heartbeat.offset);
  return view;
}

}  // namespace snipehall
