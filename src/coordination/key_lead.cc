#include "coordination/key_lead.h"

#include <algorithm>
#include <utility>

#include "coordination/key_balancer.h"

namespace snipehall {

namespace {

// The longest time that a hold can last on a slow clock.
Milliseconds LongestHold(Milliseconds hold) {
  return std::chrono::ceil<Milliseconds>(hold * KeyLead::kDrift);
}

}  // namespace

std::string_view ToString(KeyOrderOutcome outcome) {
  switch (outcome) {
    case KeyOrderOutcome::kDone:
      return "done";
    case KeyOrderOutcome::kFenced:
      return "fenced";
    case KeyOrderOutcome::kRejected:
      return "rejected";
    case KeyOrderOutcome::kGone:
      return "gone";
    case KeyOrderOutcome::kNotSent:
      return "not sent";
    case KeyOrderOutcome::kUnknown:
      break;
  }
  return "unknown";
}

void KeyLead::OnTable(MonotonicTime now, KeyTable table) {
  const bool was_lead = m_has_table && m_table.lead == m_self;
  const KeyTable old = std::exchange(m_table, std::move(table));
  m_has_table = true;
  if (!IsNamedLead()) {
    m_ranges.clear();
    m_held_until.clear();
    m_grants_in_flight.clear();
    m_next_probe.clear();
    return;
  }
  if (!was_lead) {
    // This holds as well for an instance that finds itself named when it
    // starts: its former process may have taken over just before its end.
    m_earlier_until = now + kLeadLease + kOrderLimit + LongestHold(kLongHold);
    if (m_replaced_term == m_table.term) {
      m_earlier_until = std::min(m_earlier_until, m_replaced_until);
    }
  }
  std::map<RangeId, RangeState> ranges;
  for (const auto& [service, assignments] : m_table.services) {
    for (const KeyAssignment& item : assignments) {
      RangeState state;
      const auto known = m_ranges.find({service, item.first});
      if (known != m_ranges.end() && known->second.fence == item.fence) {
        state = known->second;
      } else {
        const auto ranges_before = old.services.find(service);
        state.earlier = EarlierOwners(
            now, item,
            ranges_before == old.services.end()
                ? std::span<const KeyAssignment>()
                : std::span<const KeyAssignment>(ranges_before->second));
      }
      state.fence = item.fence;
      state.last = item.last;
      ranges.emplace(RangeId(service, item.first), std::move(state));
    }
  }
  m_ranges = std::move(ranges);
}

Milliseconds KeyLead::LongestGrant(MonotonicTime now) const {
  MonotonicTime last = now;
  for (const auto& [target, until] : m_held_until) {
    last = std::max(last, until);
  }
  for (const auto& [target, grants] : m_grants_in_flight) {
    if (grants > 0) {
      last = std::max(last, now + kOrderLimit + LongestHold(kLongHold));
    }
  }
  return std::chrono::ceil<Milliseconds>(std::max(last, m_earlier_until) - now);
}

void KeyLead::OnPredecessor(MonotonicTime now, const LeadReplaced& replaced) {
  // The message may come before the append of this lead is answered.
  m_replaced_term = replaced.term;
  m_replaced_until = now + replaced.holds;
  if (IsNamedLead() && m_table.term == replaced.term) {
    m_earlier_until = std::min(m_earlier_until, m_replaced_until);
  }
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

void KeyLead::OnTargetUnreachable(MonotonicTime now, std::string_view target) {
  if (IsNamedLead()) {
    m_next_probe.emplace(target, now);
  }
}

bool KeyLead::IsGone(std::string_view target) const {
  const auto gone = m_gone.find(target);
  if (gone == m_gone.end()) {
    return false;
  }
  const ListedTarget* known = FindKnown(target);
  return known == nullptr || known->born_ms == gone->second;
}

const ListedTarget* KeyLead::FindKnown(std::string_view target) const {
  const auto found = m_known.find(target);
  return found == m_known.end() ? nullptr : &found->second;
}

bool KeyLead::IsHeld(MonotonicTime now, std::string_view target) const {
  const auto in_flight = m_grants_in_flight.find(target);
  if (now < m_earlier_until ||
      (in_flight != m_grants_in_flight.end() && in_flight->second > 0)) {
    return true;
  }
  const auto held = m_held_until.find(target);
  return held != m_held_until.end() && now < held->second;
}

bool KeyLead::MayHold(MonotonicTime now, const KeyAssignment& range) const {
  const ListedTarget* known = FindKnown(range.owner);
  const bool same_process =
      known == nullptr || known->born_ms == range.owner_born_ms;
  return same_process && !IsGone(range.owner) && IsHeld(now, range.owner);
}

std::vector<KeyCandidate> KeyLead::Candidates(std::string_view service) const {
  std::vector<KeyCandidate> result;
  for (const auto& [id, target] : m_targets) {
    if (target.service == service && !target.leaving && !IsGone(id)) {
      result.push_back({id, target.born_ms, target.slots});
    }
  }
  return result;
}

const KeyLead::RangeState* KeyLead::FindState(
    const ServiceName& service,
    const KeyAssignment& range) const {
  const auto found = m_ranges.find({service, range.first});
  return found == m_ranges.end() ? nullptr : &found->second;
}

bool KeyLead::HasEnded(const ServiceName& service,
                       const KeyAssignment& range) const {
  const RangeState* state =
      range.moving() ? FindState(service, range) : nullptr;
  return state != nullptr && state->granted;
}

std::vector<FenceToken> KeyLead::EndedMoves() const {
  std::vector<FenceToken> fences;
  for (const auto& [service, ranges] : m_table.services) {
    for (const KeyAssignment& item : ranges) {
      if (HasEnded(service, item)) {
        fences.push_back(item.fence);
      }
    }
  }
  std::sort(fences.begin(), fences.end());
  return fences;
}

bool KeyLead::SettleMoves(KeyTable& next) const {
  bool changed = false;
  for (auto& [service, ranges] : next.services) {
    for (KeyAssignment& item : ranges) {
      if (HasEnded(service, item)) {
        item.previous.clear();
        changed = true;
      }
    }
  }
  return changed;
}

bool KeyLead::IsSettled(const ServiceName& service,
                        const KeyAssignment& range) const {
  const RangeState* state =
      range.moving() ? nullptr : FindState(service, range);
  return state != nullptr && state->fence == range.fence &&
         state->last == range.last && state->granted && !state->fenced;
}

void KeyLead::MergeRanges(KeyTable& next) const {
  for (auto& [service, ranges] : next.services) {
    std::vector<KeyAssignment> merged;
    bool extends = false;
    for (const KeyAssignment& item : ranges) {
      const bool settled = IsSettled(service, item);
      if (extends && settled && merged.back().owner == item.owner &&
          merged.back().owner_born_ms == item.owner_born_ms) {
        merged.back().last = item.last;
        merged.back().fence = ++next.fence;
        continue;
      }
      merged.push_back(item);
      extends = settled;
    }
    ranges = std::move(merged);
  }
}

bool KeyLead::RaiseTokens(KeyTable& next) const {
  bool changed = false;
  for (auto& [service, ranges] : next.services) {
    for (KeyAssignment& item : ranges) {
      const RangeState* state = FindState(service, item);
      if (state != nullptr && state->fenced) {
        // The newest table is this lead's, so a greater token is its to give.
        item.fence = ++next.fence;
        changed = true;
      }
    }
  }
  return changed;
}

bool KeyLead::PlanService(MonotonicTime now,
                          const ServiceName& service,
                          KeyTable& next) const {
  const std::vector<KeyCandidate> candidates = Candidates(service);
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
  const auto may_hold = [this, now](const KeyAssignment& range) {
    return MayHold(now, range);
  };
  std::vector<KeyAssignment> planned = PlanKeys(
      ranges, AnsweringCandidates(now, service, ranges), may_hold, next.fence);
  if (planned == ranges) {
    return false;
  }
  ranges = std::move(planned);
  return true;
}

// A silent target gets no keys, and loses those that it held once its last
// grant has lapsed.
std::vector<KeyCandidate> KeyLead::AnsweringCandidates(
    MonotonicTime now,
    std::string_view service,
    std::span<const KeyAssignment> ranges) const {
  std::vector<KeyCandidate> result = Candidates(service);
  std::erase_if(result, [&](const KeyCandidate& item) {
    return IsSilent(item.id) &&
           std::none_of(ranges.begin(), ranges.end(), [&](const auto& range) {
             return range.owner == item.id && MayHold(now, range);
           });
  });
  return result;
}

bool KeyLead::BalanceService(MonotonicTime now,
                             const ServiceName& service,
                             KeyTable& next) const {
  const auto load = m_loads.find(service);
  const auto ranges = next.services.find(service);
  if (load == m_loads.end() || ranges == next.services.end()) {
    return false;
  }
  std::vector<KeyCandidate> candidates = Candidates(service);
  std::erase_if(candidates,
                [this](const KeyCandidate& item) { return IsSilent(item.id); });
  std::vector<KeyAssignment> planned = KeyBalancer::Plan(
      now, ranges->second, candidates, load->second, next.fence);
  if (planned == ranges->second) {
    return false;
  }
  ranges->second = std::move(planned);
  return true;
}

std::optional<KeyTable> KeyLead::NextTable(MonotonicTime now, bool take_over) {
  if (!IsLead(now)) {
    if (!take_over || IsNamedLead()) {
      return std::nullopt;
    }
    KeyTable next = m_table;
    next.lead = m_self;
    next.lead_address = m_address;
    ++next.term;
    return next;
  }
  KeyTable next = m_table;
  const bool settled = SettleMoves(next);
  bool changed = settled && now >= m_settlement_at;
  changed = RaiseTokens(next) || changed;
  for (const ServiceName& service : m_services) {
    changed = PlanService(now, service, next) || changed;
  }
  if (now >= m_balance_at) {
    m_balance_at = now + kBalanceInterval;
    for (const ServiceName& service : m_services) {
      changed = BalanceService(now, service, next) || changed;
    }
  }
  if (!changed) {
    return std::nullopt;
  }
  MergeRanges(next);
  if (settled) {
    m_settlement_at = now + kSettlementInterval;
  }
  return next;
}

const TargetId* KeyLead::FindHolder(MonotonicTime now,
                                    const RangeState& state) const {
  const auto found = std::find_if(
      state.earlier.begin(), state.earlier.end(), [&](const TargetId& target) {
        return !IsGone(target) && IsHeld(now, target);
      });
  return found == state.earlier.end() ? nullptr : &*found;
}

std::vector<TargetId> KeyLead::EarlierOwners(
    MonotonicTime now,
    const KeyAssignment& range,
    std::span<const KeyAssignment> old_ranges) const {
  std::vector<TargetId> owners;
  if (range.moving()) {
    owners.push_back(range.previous);
  }
  for (const KeyAssignment& old : old_ranges) {
    const bool overlaps = old.first <= range.last && range.first <= old.last;
    if (overlaps && old.fence != range.fence && old.owner != range.owner &&
        old.owner != range.previous && MayHold(now, old)) {
      owners.push_back(old.owner);
    }
  }
  return owners;
}

bool KeyLead::IsDue(MonotonicTime now, const RangeState& state) const {
  if (state.in_flight || state.fenced) {
    return false;
  }
  const bool last_chance = now >= m_confirmed_at + kLastChance;
  return now >= state.next_order ||
         (last_chance && state.granted && !state.held_long);
}

std::vector<KeyOrder> KeyLead::TakeOrders(MonotonicTime now) {
  std::vector<KeyOrder> orders;
  if (!IsLead(now)) {
    return orders;
  }
  for (const auto& [service, ranges] : m_table.services) {
    for (const KeyAssignment& item : ranges) {
      RangeState& state = m_ranges[{service, item.first}];
      if (!IsDue(now, state)) {
        continue;
      }
      KeyOrder order;
      order.first = item.first;
      order.last = item.last;
      order.fence = item.fence;
      const TargetId* holder = FindHolder(now, state);
      const bool grants = holder == nullptr;
      const ListedTarget* target = FindKnown(grants ? item.owner : *holder);
      if (target == nullptr ||
          (grants &&
           (target->born_ms != item.owner_born_ms || IsSilent(item.owner)))) {
        continue;
      }
      order.kind = grants ? KeyOrder::Kind::kGrant : KeyOrder::Kind::kRelease;
      order.target = target->id;
      order.address = target->address;
      if (grants) {
        state.held_long = now >= m_confirmed_at + kLogSilence;
        order.hold = state.held_long ? kLongHold : kHold;
        order.handover = state.granted ? std::string() : state.handover;
        ++m_grants_in_flight[order.target];
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
    case KeyOrderOutcome::kNotSent:
      m_next_probe.insert_or_assign(TargetId(target), now + kProbeInterval);
      return;
    case KeyOrderOutcome::kGone:
      if (const ListedTarget* known = FindKnown(target)) {
        m_gone.insert_or_assign(known->id, known->born_ms);
      }
      break;
    default:
      break;
  }
  const auto found = m_next_probe.find(target);
  if (found != m_next_probe.end()) {
    m_next_probe.erase(found);
  }
}

void KeyLead::NoteGrantEnd(MonotonicTime now,
                           const KeyOrder& order,
                           KeyOrderOutcome outcome) {
  const auto in_flight = m_grants_in_flight.find(order.target);
  if (in_flight != m_grants_in_flight.end() && in_flight->second > 0) {
    --in_flight->second;
  }
  if (outcome == KeyOrderOutcome::kDone ||
      outcome == KeyOrderOutcome::kUnknown) {
    MonotonicTime& held = m_held_until[order.target];
    held = std::max(held, now + LongestHold(order.hold));
  }
}

void KeyLead::OnOrderDone(MonotonicTime now,
                          const KeyOrder& order,
                          const KeyOrderResult& result) {
  NoteAnswer(now, order.target, result.outcome);
  if (order.kind == KeyOrder::Kind::kProbe) {
    return;
  }
  if (order.kind == KeyOrder::Kind::kGrant) {
    NoteGrantEnd(now, order, result.outcome);
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
          std::erase(state.earlier, order.target);
          state.handover = result.handover;
          state.next_order = now;
        } else {
          state.granted = true;
          state.next_order = now + kRenewal;
        }
        break;
      case KeyOrderOutcome::kFenced:
        // A grant that was sent before a part of its range was moved away.
        state.fenced = order.last == state.last;
        break;
      default:
        break;
    }
  }
}

}  // namespace snipehall
