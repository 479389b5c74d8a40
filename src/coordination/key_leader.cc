#include "coordination/key_leader.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/cold_target_limit.h"
#include "coordination/key_balancer.h"

namespace snipehall {

namespace {

// Returns the longest time that `duration` on a target's slow clock can take on
// this instance's clock.
Milliseconds LongestElapsedTime(Milliseconds duration) {
  return std::chrono::ceil<Milliseconds>(duration *
                                         KeyLeader::kClockDriftFactor);
}

// Whether `ranges` has the same assignment but for its token.
bool ContainsWithOtherToken(std::span<const KeyAssignment> ranges,
                            const KeyAssignment& item) {
  return std::any_of(ranges.begin(), ranges.end(),
                     [&item](KeyAssignment range) {
                       range.fencing_token = item.fencing_token;
                       return range == item;
                     });
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

void KeyLeader::OnLogEra(MonotonicTime now,
                         LogEra era,
                         bool followed_previous_era) {
  const bool knew_all = m_has_table &&
                        (m_table.era == m_log_era || m_knows_lost_tables) &&
                        !m_table.owners_unknown;
  m_knows_lost_tables = knew_all && followed_previous_era;
  m_log_era = era;
  m_log_era_began_at = now;
  m_lost_table.reset();
  m_superseded = false;
}

KeyTable KeyLeader::MergeRestored(KeyTable table) const {
  const bool known_is_newer =
      std::tie(m_table.era, m_table.term) >= std::tie(table.era, table.term);
  KeyTable merged = known_is_newer ? m_table : table;
  MergeServices(merged, known_is_newer ? table : m_table);
  merged.fencing_token = std::max(m_table.fencing_token, table.fencing_token);
  return merged;
}

bool KeyLeader::ShouldTakeOver(MonotonicTime now) const {
  if (m_table.era == m_log_era) {
    const bool succeeds_former_process =
        IsInstanceNamed() && !IsNamedLeader() && !m_has_led;
    return m_lost_table.has_value() || succeeds_former_process;
  }
  return IsInstanceNamed() &&
         (m_knows_lost_tables || now >= m_log_era_began_at + kRestoreTime);
}

void KeyLeader::OnTable(MonotonicTime now, KeyTable table) {
  if (m_log_era == kFirstLogEra && table.era == 0) {
    // Earlier builds do not write the era.
    table.era = m_log_era;
  }
  const bool known_in_era = m_has_table && m_table.era == m_log_era;
  if (table.era != m_log_era) {
    if (known_in_era) {
      m_superseded = true;
      return;
    }
    table = m_has_table ? MergeRestored(std::move(table)) : std::move(table);
  } else if (m_has_table && !known_in_era && m_knows_lost_tables) {
    m_lost_table = m_table;
  }
  if (m_lost_table && !table.owners_unknown &&
      !HasNewerAssignments(*m_lost_table, table)) {
    m_lost_table.reset();
  }
  m_superseded = false;
  m_outdated = m_outdated && table.term == m_table.term;
  const bool same_era = known_in_era == (table.era == m_log_era);
  const bool was_leader = m_has_table && same_era && IsNamedLeader();
  const KeyTable old = std::exchange(m_table, std::move(table));
  m_has_table = true;
  if (!IsNamedLeader()) {
    m_ranges.clear();
    m_grants.clear();
    m_next_probe.clear();
    return;
  }
  m_has_led = true;
  if (!was_leader) {
    if (old.leader_incarnation == m_incarnation && m_knows_lost_tables) {
      BeginEraAsFormerLeader();
    } else {
      m_ranges.clear();
    }
    m_former_grants_until = now + kLeaderLeaseDuration + kOrderTimeout +
                            LongestElapsedTime(kLongGrantDuration);
    // This process began the term, by an append on condition that `old` is the
    // newest version. After a restore of the log there may have been others.
    m_predecessor = old.era == m_table.era ? old.leader_incarnation : 0;
    ApplyPredecessorReport();
  }
  std::map<RangeId, RangeState> ranges;
  for (const auto& [service, assignments] : m_table.services) {
    for (const KeyAssignment& item : assignments) {
      RangeState state;
      const auto known = m_ranges.find({service, item.first});
      if (known != m_ranges.end() &&
          known->second.fencing_token == item.fencing_token) {
        state = std::move(known->second);
      } else {
        const auto ranges_before = old.services.find(service);
        const std::span<const KeyAssignment> old_ranges =
            ranges_before == old.services.end()
                ? std::span<const KeyAssignment>()
                : std::span<const KeyAssignment>(ranges_before->second);
        if (known != m_ranges.end() && known->second.contact_lost &&
            !known->second.fenced && ContainsWithOtherToken(old_ranges, item)) {
          // Only the token is new, so former owners keep to their releases.
          state.former_owners = std::move(known->second.former_owners);
          state.handover = std::move(known->second.handover);
        } else {
          state.former_owners = FindFormerOwners(now, item, old_ranges);
        }
      }
      // Former leaders may have sent the tokens of the table that this leader
      // took over.
      state.sent = state.sent || !was_leader;
      if (!was_leader && IsUnverified(item, nullptr)) {
        state.next_order_at = now + kCorrectionTime;
      }
      state.fencing_token = item.fencing_token;
      state.last = item.last;
      state.reassigned = false;
      ranges.emplace(RangeId(service, item.first), std::move(state));
    }
  }
  m_ranges = std::move(ranges);
}

void KeyLeader::BeginEraAsFormerLeader() {
  for (auto& [id, state] : m_ranges) {
    if (state.granted) {
      state.former_owners.clear();
    }
    state.granted = false;
    state.fenced = false;
    state.in_flight = false;
  }
}

void KeyLeader::OnMovesCompleted(const std::set<FencingToken>& fencing_tokens) {
  if (IsNamedLeader()) {
    return;
  }
  for (auto& [service, ranges] : m_table.services) {
    for (KeyAssignment& item : ranges) {
      if (fencing_tokens.contains(item.fencing_token)) {
        item.previous_owner.clear();
      }
    }
  }
}

void KeyLeader::OnTableOutdated(std::uint64_t term) {
  m_outdated = m_outdated || (IsNamedLeader() && term == m_table.term);
}

Milliseconds KeyLeader::RemainingGrantTime(MonotonicTime now) const {
  MonotonicTime last = now;
  for (const auto& [target, processes] : m_grants) {
    for (const auto& [start_time_ms, grants] : processes) {
      last = std::max(last, grants.until);
      if (grants.in_flight > 0) {
        last = std::max(
            last, now + kOrderTimeout + LongestElapsedTime(kLongGrantDuration));
      }
    }
  }
  return std::chrono::ceil<Milliseconds>(std::max(last, m_former_grants_until) -
                                         now);
}

Milliseconds KeyLeader::FormerGrantTime(MonotonicTime now) const {
  if (!IsNamedLeader() || now >= m_former_grants_until) {
    return Milliseconds(0);
  }
  return std::chrono::ceil<Milliseconds>(m_former_grants_until - now);
}

void KeyLeader::OnLeaderReplaced(MonotonicTime now,
                                 const LeaderReplaced& replaced) {
  const Incarnation predecessor =
      IsNamedLeader() ? m_predecessor : m_table.leader_incarnation;
  if (replaced.incarnation == 0 || replaced.incarnation != predecessor) {
    // Leaders that the sender does not know of may have sent grants since.
    return;
  }
  m_predecessor_report = {replaced.term, replaced.incarnation,
                          now + replaced.remaining_grant_time};
  if (IsNamedLeader()) {
    ApplyPredecessorReport();
  }
}

void KeyLeader::ApplyPredecessorReport() {
  if (m_predecessor != 0 && m_predecessor_report.incarnation == m_predecessor &&
      m_predecessor_report.term == m_table.term) {
    m_former_grants_until =
        std::min(m_former_grants_until, m_predecessor_report.grants_until);
  }
}

void KeyLeader::OnConfirmed(MonotonicTime began) {
  m_confirmed_at = std::max(m_confirmed_at, began);
}

void KeyLeader::OnTargets(MonotonicTime now, const TargetList& targets) {
  const auto same_ids = [](const auto& left, const auto& right) {
    return left.first == right.first;
  };
  if (!std::equal(m_targets.begin(), m_targets.end(), targets.begin(),
                  targets.end(), same_ids)) {
    m_targets_changed_at = now;
  }
  m_targets = targets;
  for (const auto& [id, target] : targets) {
    m_known_targets.insert_or_assign(id, target);
  }
}

void KeyLeader::SetKeyedServices(
    std::map<ServiceName, double, std::less<>> cold_rates) {
  m_services = std::move(cold_rates);
}

double KeyLeader::ColdRate(std::string_view service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? 0 : found->second;
}

void KeyLeader::OnTargetUnreachable(MonotonicTime now,
                                    std::string_view target) {
  if (IsNamedLeader()) {
    m_next_probe.emplace(target, now);
  }
}

bool KeyLeader::HasTerminated(std::string_view target) const {
  const auto terminated = m_terminated.find(target);
  if (terminated == m_terminated.end()) {
    return false;
  }
  const ListedTarget* known = FindKnownTarget(target);
  return known == nullptr || known->start_time_ms == terminated->second;
}

const ListedTarget* KeyLeader::FindKnownTarget(std::string_view target) const {
  const auto found = m_known_targets.find(target);
  return found == m_known_targets.end() ? nullptr : &found->second;
}

bool KeyLeader::MayHaveGrant(MonotonicTime now, std::string_view target) const {
  // A process that was started since may have received a grant that was sent
  // before its start was known, so only the end of the known process counts.
  const bool terminated = HasTerminated(target);
  if (!terminated && now < m_former_grants_until) {
    return true;
  }
  const auto found = m_grants.find(target);
  if (found == m_grants.end()) {
    return false;
  }
  const ListedTarget* known = FindKnownTarget(target);
  return std::any_of(
      found->second.begin(), found->second.end(), [&](const auto& item) {
        const auto& [start_time_ms, grants] = item;
        const bool ended = terminated && known != nullptr &&
                           known->start_time_ms == start_time_ms;
        return !ended && (grants.in_flight > 0 || now < grants.until);
      });
}

std::vector<KeyCandidate> KeyLeader::Candidates(
    std::string_view service) const {
  std::vector<KeyCandidate> result;
  for (const auto& [id, target] : m_targets) {
    if (target.service == service && !target.draining && !HasTerminated(id)) {
      result.push_back({id, target.start_time_ms, target.slots});
    }
  }
  return result;
}

std::vector<KeyCandidate> KeyLeader::WarmCandidates(
    MonotonicTime now,
    std::string_view service,
    std::span<const KeyAssignment> ranges) const {
  const std::vector<KeyCandidate> all = Candidates(service);
  const double cold_rate = ColdRate(service);
  std::vector<KeyCandidate> result;
  bool any_warm = false;
  for (const KeyCandidate& item : all) {
    const bool cold = IsCold(now, m_targets.find(item.id)->second, cold_rate);
    any_warm = any_warm || !cold;
    const bool owns_keys =
        std::any_of(ranges.begin(), ranges.end(), [&item](const auto& range) {
          return range.owner == item.id &&
                 range.owner_start_time_ms == item.start_time_ms;
        });
    if (owns_keys || !cold) {
      result.push_back(item);
    }
  }
  return any_warm ? result : all;
}

const KeyLeader::RangeState* KeyLeader::FindState(
    const ServiceName& service,
    const KeyAssignment& range) const {
  const auto found = m_ranges.find({service, range.first});
  return found == m_ranges.end() ? nullptr : &found->second;
}

bool KeyLeader::IsMoveComplete(const ServiceName& service,
                               const KeyAssignment& range) const {
  const RangeState* state =
      range.moving() ? FindState(service, range) : nullptr;
  return state != nullptr && state->granted;
}

std::vector<FencingToken> KeyLeader::CompletedMoves() const {
  std::vector<FencingToken> fencing_tokens;
  for (const auto& [service, ranges] : m_table.services) {
    for (const KeyAssignment& item : ranges) {
      if (IsMoveComplete(service, item)) {
        fencing_tokens.push_back(item.fencing_token);
      }
    }
  }
  std::sort(fencing_tokens.begin(), fencing_tokens.end());
  return fencing_tokens;
}

bool KeyLeader::CompleteMoves(KeyTable& next) const {
  bool changed = false;
  for (auto& [service, ranges] : next.services) {
    for (KeyAssignment& item : ranges) {
      if (IsMoveComplete(service, item)) {
        item.previous_owner.clear();
        changed = true;
      }
    }
  }
  return changed;
}

bool KeyLeader::IsExclusivelyGranted(const ServiceName& service,
                                     const KeyAssignment& range) const {
  const RangeState* state =
      range.moving() ? nullptr : FindState(service, range);
  return state != nullptr && state->fencing_token == range.fencing_token &&
         state->last == range.last && state->granted && !state->fenced;
}

void KeyLeader::MergeRanges(KeyTable& next) const {
  for (auto& [service, ranges] : next.services) {
    std::vector<KeyAssignment> merged;
    bool extends = false;
    for (const KeyAssignment& item : ranges) {
      const bool exclusively_granted = IsExclusivelyGranted(service, item);
      if (extends && exclusively_granted && merged.back().owner == item.owner &&
          merged.back().owner_start_time_ms == item.owner_start_time_ms) {
        merged.back().last = item.last;
        merged.back().fencing_token = ++next.fencing_token;
        continue;
      }
      merged.push_back(item);
      extends = exclusively_granted;
    }
    ranges = std::move(merged);
  }
}

bool KeyLeader::IsUnverified(const KeyAssignment& range,
                             const RangeState* state) const {
  return range.fencing_token <= EraBase(m_table.era) &&
         (state == nullptr || !state->granted);
}

bool KeyLeader::MayChange(MonotonicTime now,
                          const KeyAssignment& range,
                          const RangeState* state) const {
  return now >= m_former_grants_until || !IsUnverified(range, state);
}

bool KeyLeader::RaiseTokens(MonotonicTime now, KeyTable& next) const {
  bool changed = false;
  for (auto& [service, ranges] : next.services) {
    for (KeyAssignment& item : ranges) {
      const RangeState* state = FindState(service, item);
      const bool rejected = state != nullptr && state->fenced;
      const bool may_have_restarted = state != nullptr && state->contact_lost &&
                                      m_targets.contains(item.owner) &&
                                      !IsUnresponsive(item.owner);
      if ((rejected || may_have_restarted || IsUnverified(item, state)) &&
          MayChange(now, item, state)) {
        // The newest table names this leader, so only this leader may assign a
        // greater token.
        item.fencing_token = ++next.fencing_token;
        changed = true;
      }
    }
  }
  return changed;
}

bool KeyLeader::PlanService(MonotonicTime now,
                            const ServiceName& service,
                            KeyTable& next) const {
  const std::vector<KeyCandidate> candidates = Candidates(service);
  if (candidates.empty()) {
    return false;
  }
  std::vector<KeyAssignment>& ranges = next.services[service];
  if (ranges.empty()) {
    if (now < m_targets_changed_at + kTargetListSettleTime) {
      next.services.erase(service);
      return false;
    }
    ranges = PlanFirstKeys(candidates, next.fencing_token);
    return true;
  }
  const auto may_hold = [this, now](const KeyAssignment& range) {
    return MayHaveGrant(now, range.owner);
  };
  const auto may_change = [this, now, &service](const KeyAssignment& range) {
    return MayChange(now, range, FindState(service, range));
  };
  std::vector<KeyAssignment> planned =
      PlanKeys(ranges, AnsweringCandidates(now, service, ranges), may_hold,
               may_change, next.fencing_token);
  if (planned == ranges) {
    return false;
  }
  ranges = std::move(planned);
  return true;
}

// An unresponsive target gets no keys, and loses those that it has once its
// last grant has expired.
std::vector<KeyCandidate> KeyLeader::AnsweringCandidates(
    MonotonicTime now,
    std::string_view service,
    std::span<const KeyAssignment> ranges) const {
  std::vector<KeyCandidate> result = WarmCandidates(now, service, ranges);
  std::erase_if(result, [&](const KeyCandidate& item) {
    return IsUnresponsive(item.id) &&
           std::none_of(ranges.begin(), ranges.end(), [&](const auto& range) {
             return range.owner == item.id && MayHaveGrant(now, range.owner);
           });
  });
  return result;
}

void KeyLeader::OnRateLimit(MonotonicTime now,
                            std::string_view target,
                            double limit) {
  std::erase_if(m_rate_limits, [now](const auto& item) {
    return now >= item.second.expires_at;
  });
  m_rate_limits.insert_or_assign(TargetId(target),
                                 RateLimit{limit, now + kRateLimitLifetime});
}

bool KeyLeader::BalanceService(MonotonicTime now,
                               const ServiceName& service,
                               KeyTable& next) const {
  const auto load = m_loads.find(service);
  const auto ranges = next.services.find(service);
  if (load == m_loads.end() || ranges == next.services.end() ||
      std::any_of(ranges->second.begin(), ranges->second.end(),
                  [&](const KeyAssignment& range) {
                    return !MayChange(now, range, FindState(service, range));
                  })) {
    return false;
  }
  std::vector<KeyCandidate> candidates =
      WarmCandidates(now, service, ranges->second);
  std::erase_if(candidates, [this](const KeyCandidate& item) {
    return IsUnresponsive(item.id);
  });
  const double cold_rate = ColdRate(service);
  for (KeyCandidate& candidate : candidates) {
    if (IsCold(now, m_targets.find(candidate.id)->second, cold_rate)) {
      candidate.rate_limit = cold_rate;
    }
    const auto limit = m_rate_limits.find(candidate.id);
    if (limit != m_rate_limits.end() && now < limit->second.expires_at) {
      candidate.rate_limit =
          std::min(limit->second.limit,
                   candidate.rate_limit.value_or(limit->second.limit));
    }
  }
  std::vector<KeyAssignment> planned = KeyBalancer::Plan(
      now, ranges->second, candidates, load->second, next.fencing_token);
  if (planned == ranges->second) {
    return false;
  }
  ranges->second = std::move(planned);
  return true;
}

std::map<ServiceName, KeyFractions, std::less<>> KeyLeader::PlanKeyAdmissions(
    MonotonicTime now) const {
  std::map<ServiceName, KeyFractions, std::less<>> admissions;
  for (const auto& [service, cold_rate] : m_services) {
    const auto load = m_loads.find(service);
    const auto ranges = m_table.services.find(service);
    if (load == m_loads.end() || ranges == m_table.services.end()) {
      continue;
    }
    KeyFractions busy = KeyAdmissionPlanner::Plan(
        now, ranges->second, Candidates(service), load->second);
    if (!busy.empty()) {
      admissions.emplace(service, std::move(busy));
    }
  }
  return admissions;
}

std::optional<KeyTable> KeyLeader::NextTable(MonotonicTime now,
                                             bool take_over) {
  if (!IsLeader(now)) {
    const bool leads_era = IsNamedLeader() && m_table.era == m_log_era;
    return take_over && !leads_era ? std::optional(TakeOverTable())
                                   : std::nullopt;
  }
  KeyTable next = m_table;
  if (next.owners_unknown) {
    if (now < m_former_grants_until) {
      return m_superseded ? std::optional(next) : std::nullopt;
    }
    next.owners_unknown = false;
  }
  const bool completed = CompleteMoves(next);
  // An append of any version rules out one that failed before.
  const bool reassigned =
      std::any_of(m_ranges.begin(), m_ranges.end(),
                  [](const auto& item) { return item.second.reassigned; });
  bool changed = m_superseded || reassigned ||
                 (completed && now >= m_next_completion_at) ||
                 next.owners_unknown != m_table.owners_unknown;
  changed = RaiseTokens(now, next) || changed;
  for (const auto& [service, cold_rate] : m_services) {
    changed = PlanService(now, service, next) || changed;
  }
  if (now >= m_next_balance_at) {
    m_next_balance_at = now + kBalanceInterval;
    for (const auto& [service, cold_rate] : m_services) {
      changed = BalanceService(now, service, next) || changed;
    }
  }
  if (!changed) {
    return std::nullopt;
  }
  MergeRanges(next);
  if (completed) {
    m_next_completion_at = now + kMoveCompletionInterval;
  }
  MarkReassigned(next);
  return next;
}

void KeyLeader::MarkReassigned(const KeyTable& next) {
  for (const auto& [service, ranges] : m_table.services) {
    const auto planned = next.services.find(service);
    for (const KeyAssignment& item : ranges) {
      const auto state = m_ranges.find({service, item.first});
      if (state == m_ranges.end() || planned == next.services.end()) {
        continue;
      }
      const auto gives_away = [&item](const KeyAssignment& range) {
        return range.first <= item.last && item.first <= range.last &&
               range.owner != item.owner && range.previous_owner != item.owner;
      };
      state->second.reassigned = state->second.reassigned ||
                                 std::any_of(planned->second.begin(),
                                             planned->second.end(), gives_away);
    }
  }
}

KeyTable KeyLeader::TakeOverTable() const {
  KeyTable next = m_table;
  if (next.era != m_log_era) {
    const bool first_table = !m_has_table && m_log_era <= kFirstLogEra;
    next.owners_unknown =
        next.owners_unknown || !(m_knows_lost_tables || first_table);
    next.era = m_log_era;
  } else if (m_lost_table) {
    MergeServices(next, *m_lost_table);
    next.owners_unknown = false;
  }
  next.leader = m_self;
  next.leader_incarnation = m_incarnation;
  next.leader_address = m_address;
  next.term = std::max(next.term, EraBase(m_log_era)) + 1;
  next.fencing_token = std::max(next.fencing_token, EraBase(m_log_era));
  return next;
}

const TargetId* KeyLeader::FindHolder(MonotonicTime now,
                                      const RangeState& state) const {
  const auto found = std::find_if(
      state.former_owners.begin(), state.former_owners.end(),
      [&](const TargetId& target) { return MayHaveGrant(now, target); });
  return found == state.former_owners.end() ? nullptr : &*found;
}

std::vector<TargetId> KeyLeader::FindFormerOwners(
    MonotonicTime now,
    const KeyAssignment& range,
    std::span<const KeyAssignment> old_ranges) const {
  std::vector<TargetId> owners;
  if (range.moving()) {
    owners.push_back(range.previous_owner);
  }
  for (const KeyAssignment& old : old_ranges) {
    const bool overlaps = old.first <= range.last && range.first <= old.last;
    if (overlaps && old.fencing_token != range.fencing_token &&
        old.owner != range.owner && old.owner != range.previous_owner &&
        MayHaveGrant(now, old.owner)) {
      owners.push_back(old.owner);
    }
  }
  return owners;
}

bool KeyLeader::IsDue(MonotonicTime now, const RangeState& state) const {
  if (state.in_flight || state.fenced) {
    return false;
  }
  const bool extend_grant = now >= m_confirmed_at + kGrantExtensionAge;
  return now >= state.next_order_at ||
         (extend_grant && state.granted && !state.has_long_grant);
}

std::vector<KeyOrder> KeyLeader::TakeDueOrders(MonotonicTime now) {
  std::vector<KeyOrder> orders;
  if (!IsLeader(now) || m_table.owners_unknown ||
      (m_outdated && now < m_former_grants_until)) {
    return orders;
  }
  for (const auto& [service, ranges] : m_table.services) {
    for (const KeyAssignment& item : ranges) {
      RangeState& state = m_ranges[{service, item.first}];
      // A range that was not renewed in time gets a new token first.
      const bool expired =
          IsUnverified(item, &state) && now >= m_former_grants_until;
      if (!IsDue(now, state) || expired) {
        continue;
      }
      KeyOrder order;
      order.first = item.first;
      order.last = item.last;
      order.fencing_token = item.fencing_token;
      const TargetId* holder = FindHolder(now, state);
      const bool grants = holder == nullptr;
      if (grants && (state.reassigned ||
                     (state.contact_lost && MayChange(now, item, &state)))) {
        continue;
      }
      const ListedTarget* target =
          FindKnownTarget(grants ? item.owner : *holder);
      if (target == nullptr ||
          (grants && (target->start_time_ms != item.owner_start_time_ms ||
                      IsUnresponsive(item.owner)))) {
        continue;
      }
      order.kind = grants ? KeyOrder::Kind::kGrant : KeyOrder::Kind::kRelease;
      order.target = target->id;
      order.start_time_ms = target->start_time_ms;
      order.address = target->address;
      if (grants) {
        state.has_long_grant = now >= m_confirmed_at + kLogUnresponsiveAge;
        order.grant_duration =
            state.has_long_grant ? kLongGrantDuration : kGrantDuration;
        order.handover_state = state.granted ? std::string() : state.handover;
        state.sent = true;
        ++m_grants[order.target][order.start_time_ms].in_flight;
      }
      state.in_flight = true;
      orders.push_back(std::move(order));
    }
  }
  AddProbes(now, orders);
  return orders;
}

void KeyLeader::AddProbes(MonotonicTime now, std::vector<KeyOrder>& orders) {
  for (auto& [target, next] : m_next_probe) {
    const auto listed = m_targets.find(target);
    if (now < next || listed == m_targets.end()) {
      continue;
    }
    next = now + kOrderTimeout + kProbeInterval;
    KeyOrder order;
    order.kind = KeyOrder::Kind::kProbe;
    order.target = target;
    order.start_time_ms = listed->second.start_time_ms;
    order.address = listed->second.address;
    orders.push_back(std::move(order));
  }
}

void KeyLeader::UpdateProbes(MonotonicTime now,
                             const KeyOrder& order,
                             KeyOrderOutcome outcome) {
  switch (outcome) {
    case KeyOrderOutcome::kUnknown:
    case KeyOrderOutcome::kNotSent:
      m_next_probe.insert_or_assign(order.target, now + kProbeInterval);
      OnContactLost(order.target);
      return;
    case KeyOrderOutcome::kGone:
      m_terminated.insert_or_assign(order.target, order.start_time_ms);
      break;
    default:
      break;
  }
  const auto found = m_next_probe.find(order.target);
  if (found != m_next_probe.end()) {
    m_next_probe.erase(found);
  }
}

void KeyLeader::OnContactLost(std::string_view target) {
  for (const auto& [service, ranges] : m_table.services) {
    for (const KeyAssignment& item : ranges) {
      const auto state = m_ranges.find({service, item.first});
      if (item.owner == target && state != m_ranges.end()) {
        state->second.contact_lost = state->second.sent;
      }
    }
  }
}

void KeyLeader::RecordGrantResult(MonotonicTime now,
                                  const KeyOrder& order,
                                  KeyOrderOutcome outcome) {
  Grants& grants = m_grants[order.target][order.start_time_ms];
  if (grants.in_flight > 0) {
    --grants.in_flight;
  }
  if (outcome == KeyOrderOutcome::kDone ||
      outcome == KeyOrderOutcome::kRejected ||
      outcome == KeyOrderOutcome::kUnknown) {
    grants.until =
        std::max(grants.until, now + LongestElapsedTime(order.grant_duration));
  }
}

void KeyLeader::OnOrderResult(MonotonicTime now,
                              const KeyOrder& order,
                              const KeyOrderResult& result) {
  UpdateProbes(now, order, result.outcome);
  if (order.kind == KeyOrder::Kind::kProbe) {
    return;
  }
  if (order.kind == KeyOrder::Kind::kGrant) {
    RecordGrantResult(now, order, result.outcome);
  }
  for (auto& [id, state] : m_ranges) {
    if (id.second != order.first ||
        state.fencing_token != order.fencing_token) {
      continue;
    }
    state.in_flight = false;
    state.next_order_at = now + kRetryDelay;
    switch (result.outcome) {
      case KeyOrderOutcome::kDone:
        if (order.kind == KeyOrder::Kind::kRelease) {
          std::erase(state.former_owners, order.target);
          state.handover = result.handover;
          state.next_order_at = now;
        } else {
          state.granted = true;
          state.next_order_at = now + kRenewalInterval;
        }
        break;
      case KeyOrderOutcome::kFenced:
        // The token is too low only if the order covered the whole range;
        // otherwise it is a late grant from before a part of the range moved to
        // another owner.
        state.fenced = order.last == state.last;
        break;
      default:
        break;
    }
  }
}

}  // namespace snipehall
