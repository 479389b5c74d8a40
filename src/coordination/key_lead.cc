#include "coordination/key_lead.h"

#include <algorithm>

namespace snipehall {

namespace {

// The longest time that a hold can last on a slow clock.
Milliseconds LongestHold() {
  return std::chrono::ceil<Milliseconds>(KeyLead::kHold * KeyLead::kDrift);
}

}  // namespace

void KeyLead::OnTable(MonotonicTime now, KeyTable table) {
  const bool was_lead = m_has_table && m_table.lead == m_self;
  m_table = std::move(table);
  m_has_table = true;
  if (!IsNamedLead()) {
    m_ranges.clear();
    m_held_until.clear();
    m_next_probe.clear();
    return;
  }
  if (!was_lead) {
    m_earlier_until = now + kLeadLease + kOrderLimit + LongestHold();
  }
  std::map<RangeId, RangeState> ranges;
  for (const auto& [service, assignments] : m_table.services) {
    for (const KeyAssignment& item : assignments) {
      RangeState state;
      const auto known = m_ranges.find({service, item.first});
      if (known != m_ranges.end() && known->second.fence == item.fence) {
        state = known->second;
      }
      state.fence = item.fence;
      ranges.emplace(RangeId(service, item.first), std::move(state));
    }
  }
  m_ranges = std::move(ranges);
}

void KeyLead::OnConfirmed(MonotonicTime began) {
  m_confirmed_at = std::max(m_confirmed_at, began);
}

void KeyLead::OnTargets(MonotonicTime now, const TargetList& targets) {
  const auto same_ids = [](const auto& left, const auto& right) {
    return left.first == right.first;
  };
  if (!std::equal(m_targets.begin(), m_targets.end(), targets.begin(),
                  targets.end(), same_ids)) {
    m_targets_changed_at = now;
  }
  m_targets = targets;
  for (const auto& [id, target] : targets) {
    m_known.insert_or_assign(id, target);
  }
}

void KeyLead::SetKeyedServices(std::set<ServiceName, std::less<>> services) {
  m_services = std::move(services);
}

void KeyLead::OnTargetDead(MonotonicTime now, std::string_view target) {
  const auto listed = m_targets.find(target);
  const std::int64_t born =
      listed == m_targets.end() ? 0 : listed->second.born_ms;
  m_dead.insert_or_assign(TargetId(target), std::pair(born, now + kDeadTime));
}

bool KeyLead::IsDead(MonotonicTime now, std::string_view target) const {
  const auto found = m_dead.find(target);
  if (found == m_dead.end()) {
    return false;
  }
  const auto listed = m_targets.find(target);
  const bool same_process = listed == m_targets.end() ||
                            listed->second.born_ms == found->second.first;
  return same_process &&
         (listed == m_targets.end() || now < found->second.second);
}

const ListedTarget* KeyLead::FindAlive(MonotonicTime now,
                                       std::string_view target) const {
  const auto found = m_known.find(target);
  if (found == m_known.end() || IsDead(now, target)) {
    return nullptr;
  }
  return &found->second;
}

bool KeyLead::MayHold(MonotonicTime now, const KeyAssignment& range) const {
  if (IsDead(now, range.owner)) {
    return false;
  }
  const auto listed = m_targets.find(range.owner);
  if (listed != m_targets.end() &&
      listed->second.born_ms != range.owner_born_ms) {
    return false;
  }
  if (now < m_earlier_until) {
    return true;
  }
  const auto held = m_held_until.find(range.owner);
  return held != m_held_until.end() && now < held->second;
}

std::vector<KeyCandidate> KeyLead::Candidates(MonotonicTime now,
                                              std::string_view service) const {
  std::vector<KeyCandidate> result;
  for (const auto& [id, target] : m_targets) {
    if (target.service == service && !target.leaving && !IsDead(now, id)) {
      result.push_back({id, target.born_ms});
    }
  }
  return result;
}

bool KeyLead::PlanService(MonotonicTime now,
                          const ServiceName& service,
                          KeyTable& next) const {
  const std::vector<KeyCandidate> candidates = Candidates(now, service);
  if (candidates.empty()) {
    return false;
  }
  std::vector<KeyAssignment>& ranges = next.services[service];
  if (ranges.empty()) {
    if (now < m_targets_changed_at + kSettleTime) {
      next.services.erase(service);
      return false;
    }
    ranges = PlanFirstKeys(candidates, next.fence);
    return true;
  }
  // A silent target gets no keys, and loses those that it held once its last
  // grant has lapsed.
  std::vector<KeyCandidate> answering;
  for (const KeyCandidate& item : candidates) {
    const bool holds =
        std::any_of(ranges.begin(), ranges.end(), [&](const auto& range) {
          return range.owner == item.id && MayHold(now, range);
        });
    if (!IsSilent(item.id) || holds) {
      answering.push_back(item);
    }
  }
  const auto may_hold = [this, now](const KeyAssignment& range) {
    return MayHold(now, range);
  };
  std::vector<KeyAssignment> planned =
      PlanKeys(ranges, answering, may_hold, next.fence);
  if (planned == ranges) {
    return false;
  }
  ranges = std::move(planned);
  return true;
}

std::optional<KeyTable> KeyLead::NextTable(MonotonicTime now, bool take_over) {
  if (!IsLead(now)) {
    if (!take_over || IsNamedLead()) {
      return std::nullopt;
    }
    KeyTable next = m_table;
    next.lead = m_self;
    return next;
  }
  KeyTable next = m_table;
  bool changed = false;
  for (auto& [service, ranges] : next.services) {
    for (KeyAssignment& item : ranges) {
      const auto state = m_ranges.find({service, item.first});
      if (item.moving() && state != m_ranges.end() && state->second.granted) {
        item.previous.clear();
        changed = true;
      }
    }
  }
  for (const ServiceName& service : m_services) {
    changed = PlanService(now, service, next) || changed;
  }
  if (!changed) {
    return std::nullopt;
  }
  return next;
}

bool KeyLead::ReadyToGrant(MonotonicTime now,
                           const KeyAssignment& range,
                           const RangeState& state) const {
  if (!range.moving() || state.released || IsDead(now, range.previous)) {
    return true;
  }
  if (now < m_earlier_until) {
    return false;
  }
  const auto held = m_held_until.find(range.previous);
  return held == m_held_until.end() || now >= held->second;
}

std::vector<KeyOrder> KeyLead::TakeOrders(MonotonicTime now) {
  std::vector<KeyOrder> orders;
  if (!IsLead(now)) {
    return orders;
  }
  for (const auto& [service, ranges] : m_table.services) {
    for (const KeyAssignment& item : ranges) {
      RangeState& state = m_ranges[{service, item.first}];
      if (state.in_flight || state.fenced || now < state.next_order) {
        continue;
      }
      KeyOrder order;
      order.first = item.first;
      order.last = item.last;
      order.fence = item.fence;
      const bool grants = ReadyToGrant(now, item, state);
      const ListedTarget* target =
          FindAlive(now, grants ? item.owner : item.previous);
      if (target == nullptr ||
          (grants &&
           (target->born_ms != item.owner_born_ms || IsSilent(item.owner)))) {
        continue;
      }
      order.kind = grants ? KeyOrder::Kind::kGrant : KeyOrder::Kind::kRelease;
      order.target = target->id;
      order.address = target->address;
      if (grants) {
        order.hold = kHold;
        order.handover = state.granted ? std::string() : state.handover;
        NoteGrant(order.target, now + kOrderLimit + LongestHold());
      }
      state.in_flight = true;
      orders.push_back(std::move(order));
    }
  }
  AddProbes(now, orders);
  return orders;
}

void KeyLead::AddProbes(MonotonicTime now, std::vector<KeyOrder>& orders) {
  for (auto& [target, next] : m_next_probe) {
    const auto listed = m_targets.find(target);
    if (now < next || listed == m_targets.end()) {
      continue;
    }
    next = now + kOrderLimit + kProbeInterval;
    KeyOrder order;
    order.kind = KeyOrder::Kind::kProbe;
    order.target = target;
    order.address = listed->second.address;
    orders.push_back(std::move(order));
  }
}

void KeyLead::NoteAnswer(MonotonicTime now,
                         std::string_view target,
                         KeyOrderOutcome outcome) {
  switch (outcome) {
    case KeyOrderOutcome::kUnknown:
      m_next_probe.insert_or_assign(TargetId(target), now + kProbeInterval);
      return;
    case KeyOrderOutcome::kDead:
      OnTargetDead(now, target);
      break;
    default:
      break;
  }
  const auto found = m_next_probe.find(target);
  if (found != m_next_probe.end()) {
    m_next_probe.erase(found);
  }
}

void KeyLead::NoteGrant(std::string_view target, MonotonicTime until) {
  MonotonicTime& held = m_held_until[TargetId(target)];
  held = std::max(held, until);
}

void KeyLead::OnOrderDone(MonotonicTime now,
                          const KeyOrder& order,
                          const KeyOrderResult& result) {
  NoteAnswer(now, order.target, result.outcome);
  if (order.kind == KeyOrder::Kind::kProbe) {
    return;
  }
  for (auto& [id, state] : m_ranges) {
    if (id.second != order.first || state.fence != order.fence) {
      continue;
    }
    state.in_flight = false;
    state.next_order = now + kRetry;
    switch (result.outcome) {
      case KeyOrderOutcome::kDone:
        if (order.kind == KeyOrder::Kind::kRelease) {
          state.released = true;
          state.handover = result.handover;
          state.next_order = now;
        } else {
          state.granted = true;
          state.next_order = now + kRenewal;
        }
        break;
      case KeyOrderOutcome::kFenced:
        state.fenced = true;
        break;
      default:
        break;
    }
  }
}

}  // namespace snipehall
