#include "coordination/key_leader.h"

#include <algorithm>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

constexpr const char* kService = "catalog";

// A KeyLeader with a simulated clock; the test answers for the log and the
// targets.
class LeaderFixture {
 public:
  LeaderFixture() : m_leader("entry-1", 1, "127.0.0.1:7000") {
    m_leader.SetKeyedServices({{kService, 0}});
  }

  void AddTarget(const TargetId& id, std::int64_t start_time_ms = 1) {
    ListedTarget target;
    target.id = id;
    target.service = kService;
    target.address = "127.0.0.1:8000";
    target.start_time_ms = start_time_ms;
    m_targets.insert_or_assign(id, target);
    m_leader.OnTargets(m_now, m_targets);
  }
  void RemoveTarget(const TargetId& id) {
    m_targets.erase(id);
    m_leader.OnTargets(m_now, m_targets);
  }
  void SetLeaving(const TargetId& id, bool leaving = true) {
    m_targets[id].draining = leaving;
    m_leader.OnTargets(m_now, m_targets);
  }
  // Makes the target cold for `time`.
  void SetCold(const TargetId& id, Milliseconds time) {
    m_leader.SetKeyedServices({{kService, 10}});
    m_targets[id].warmup_until = m_now + time;
    m_leader.OnTargets(m_now, m_targets);
  }

  // Advances the clock and confirms the leader by a read of the log.
  void Advance(Milliseconds time) {
    m_now += time;
    m_leader.OnConfirmed(m_now);
  }
  // Advances the clock while the log does not confirm the leader.
  void AdvanceWithoutLog(Milliseconds time) { m_now += time; }

  // Appends the next version of the table, if there is one. Returns whether
  // there was.
  bool AppendNextTable(bool take_over = false) {
    auto next = m_leader.NextTable(m_now, take_over);
    if (!next) {
      return false;
    }
    m_leader.OnTable(m_now, *std::move(next));
    m_leader.OnConfirmed(m_now);
    return true;
  }

  std::vector<KeyOrder> TakeDueOrders() {
    return m_leader.TakeDueOrders(m_now);
  }
  void Finish(const KeyOrder& order,
              KeyOrderOutcome outcome,
              std::string handover = {}) {
    m_leader.OnOrderResult(m_now, order, {outcome, 0, std::move(handover)});
  }
  void FinishDueOrders(KeyOrderOutcome outcome) {
    for (const KeyOrder& order : TakeDueOrders()) {
      Finish(order, outcome);
    }
  }

  // Becomes the leader, assigns the keys to two targets and grants them.
  void BecomeLeaderOfTwoTargets() {
    AddTarget("a");
    AddTarget("b");
    Advance(KeyLeader::kTargetListSettleTime);
    cr_assert(AppendNextTable(true));
    cr_assert(AppendNextTable());
    FinishDueOrders(KeyOrderOutcome::kDone);
    // After these 20 s the grants of earlier leaders have expired.
    for (int i = 0; i < 20; ++i) {
      Advance(Milliseconds(1000));
      AppendNextTable();
      FinishDueOrders(KeyOrderOutcome::kDone);
    }
  }

  KeyLeader& leader() { return m_leader; }
  MonotonicTime now() const { return m_now; }
  const KeyAssignment& Range(std::size_t index) {
    return m_leader.table().services.at(kService)[index];
  }
  std::size_t ranges() { return m_leader.table().services.at(kService).size(); }

 private:
  MonotonicTime m_now = MonotonicTime(std::chrono::hours(1));
  KeyLeader m_leader;
  TargetList m_targets;
};

Test(key_leader, assigns_all_keys_once_targets_are_known) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  cr_assert_eq(fixture.ranges(), 2);
  cr_assert_eq(fixture.Range(0).first, 0);
  cr_assert_eq(fixture.Range(1).last, kLastKey);
  cr_assert_lt(fixture.Range(0).fencing_token, fixture.Range(1).fencing_token);
}

// Runs the leader for `time` with targets that obey.
void RunFor(LeaderFixture& fixture, Milliseconds time) {
  for (Milliseconds passed{0}; passed < time; passed += Milliseconds(100)) {
    fixture.Advance(Milliseconds(100));
    fixture.AppendNextTable();
    fixture.FinishDueOrders(KeyOrderOutcome::kDone);
  }
}

bool OwnsKeys(LeaderFixture& fixture, const TargetId& id) {
  const auto& ranges = fixture.leader().table().services.at(kService);
  return std::any_of(ranges.begin(), ranges.end(),
                     [&id](const auto& range) { return range.owner == id; });
}

Test(key_leader, cold_target_gets_keys_once_it_is_warm) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.SetCold("a", Milliseconds(5000));
  fixture.AddTarget("c");
  fixture.SetCold("c", Milliseconds(5000));
  RunFor(fixture, Milliseconds(4900));
  cr_assert(OwnsKeys(fixture, "a"), "a cold owner lost its keys");
  cr_assert(!OwnsKeys(fixture, "c"), "a cold target got keys");
  RunFor(fixture, Milliseconds(1000));
  cr_assert(OwnsKeys(fixture, "c"), "a warm target got no keys");
}

// Guards against keys that stay with the only cold target that has some.
Test(key_leader, cold_targets_get_keys_if_no_target_is_warm) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.SetLeaving("b");
  RunFor(fixture, Milliseconds(1000));
  cr_assert(!OwnsKeys(fixture, "b"));
  fixture.SetLeaving("b", false);
  fixture.SetCold("a", Milliseconds(5000));
  fixture.SetCold("b", Milliseconds(5000));
  RunFor(fixture, Milliseconds(1000));
  cr_assert(OwnsKeys(fixture, "a"));
  cr_assert(OwnsKeys(fixture, "b"));
}

// A zone with "a" and "c" is evacuated while keys move to "c".
Test(key_leader, evacuated_targets_lose_their_keys_and_come_back_cold) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.AddTarget("c");
  cr_assert(fixture.AppendNextTable());
  cr_assert(OwnsKeys(fixture, "c"));
  fixture.SetLeaving("a");
  fixture.SetLeaving("c");
  RunFor(fixture, Milliseconds(2000));
  cr_assert(!OwnsKeys(fixture, "a"));
  cr_assert(!OwnsKeys(fixture, "c"));
  for (const TargetId id : {"a", "c"}) {
    fixture.SetLeaving(id, false);
    fixture.SetCold(id, Milliseconds(3000));
  }
  RunFor(fixture, Milliseconds(2900));
  cr_assert(!OwnsKeys(fixture, "a"));
  cr_assert(!OwnsKeys(fixture, "c"));
  RunFor(fixture, Milliseconds(2000));
  cr_assert(OwnsKeys(fixture, "a"));
  cr_assert(OwnsKeys(fixture, "c"));
}

// Guards against keys without an owner after all zones were evacuated.
Test(key_leader, keys_stay_if_all_targets_are_evacuated) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.SetLeaving("a");
  fixture.SetLeaving("b");
  RunFor(fixture, Milliseconds(6000));
  fixture.SetLeaving("a", false);
  RunFor(fixture, Milliseconds(2000));
  cr_assert(OwnsKeys(fixture, "a"));
  cr_assert(!OwnsKeys(fixture, "b"));
}

// Lets target "a" be unreachable until `expiry` and checks that its keys are
// not granted to another target before.
void RequireNoOtherOwnerBefore(LeaderFixture& fixture, MonotonicTime expiry) {
  while (fixture.now() + Milliseconds(100) < expiry) {
    fixture.Advance(Milliseconds(100));
    fixture.AppendNextTable();
    for (const KeyOrder& order : fixture.TakeDueOrders()) {
      const bool to_a = order.target == "a";
      cr_assert(!to_a || order.kind == KeyOrder::Kind::kProbe);
      cr_assert(order.kind != KeyOrder::Kind::kGrant || order.first > 0,
                "keys of a were granted before its grant had expired");
      fixture.Finish(order,
                     to_a ? KeyOrderOutcome::kNotSent : KeyOrderOutcome::kDone);
    }
  }
}

// Finishes the due renewals, that of target "a" with `outcome`.
void FinishRenewals(LeaderFixture& fixture, KeyOrderOutcome outcome) {
  for (const KeyOrder& order : fixture.TakeDueOrders()) {
    fixture.Finish(order,
                   order.target == "a" ? outcome : KeyOrderOutcome::kDone);
  }
}

// Guards against two owners of a key: a failed connection may mean a network
// partition, in which the owner still serves its keys.
Test(key_leader, unreachable_owner_keeps_its_keys_until_its_grant_has_expired) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.Advance(KeyLeader::kRenewalInterval);
  FinishRenewals(fixture, KeyOrderOutcome::kNotSent);
  const MonotonicTime expiry =
      fixture.now() - KeyLeader::kRenewalInterval + KeyLeader::kGrantDuration;
  RequireNoOtherOwnerBefore(fixture, expiry);
  fixture.Advance(Milliseconds(1000));
  cr_assert(fixture.AppendNextTable());
  for (std::size_t i = 0; i < fixture.ranges(); ++i) {
    cr_assert_eq(fixture.Range(i).owner, "b");
  }
}

// Guards against two owners of a key: an error in response to a renewal does
// not show that the owner has not executed it, for example an earlier copy.
Test(key_leader, renewal_answered_with_an_error_may_have_been_executed) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.Advance(KeyLeader::kRenewalInterval);
  FinishRenewals(fixture, KeyOrderOutcome::kRejected);
  const MonotonicTime expiry = fixture.now() + KeyLeader::kGrantDuration;
  fixture.Advance(KeyLeader::kRetryDelay);
  FinishRenewals(fixture, KeyOrderOutcome::kNotSent);
  RequireNoOtherOwnerBefore(fixture, expiry);
}

// Guards against a grant to the new owner before the previous one has released
// the keys.
Test(key_leader, leaving_owner_releases_keys_before_the_new_owner_is_granted) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.SetLeaving("a");
  cr_assert(fixture.AppendNextTable());
  cr_assert(fixture.Range(0).moving());
  const std::vector<KeyOrder> orders = fixture.TakeDueOrders();
  const auto release =
      std::find_if(orders.begin(), orders.end(), [](const KeyOrder& order) {
        return order.kind == KeyOrder::Kind::kRelease;
      });
  cr_assert(release != orders.end());
  cr_assert_eq(release->target, "a");
  cr_assert_eq(release->fencing_token, fixture.Range(0).fencing_token);
  for (const KeyOrder& order : orders) {
    cr_assert(order.first != release->first ||
              order.kind == KeyOrder::Kind::kRelease);
  }
  fixture.Finish(*release, KeyOrderOutcome::kDone, "state-of-a");
  const std::vector<KeyOrder> grants = fixture.TakeDueOrders();
  const auto grant = std::find_if(
      grants.begin(), grants.end(),
      [&](const KeyOrder& order) { return order.first == release->first; });
  cr_assert(grant != grants.end());
  cr_assert_eq(grant->target, "b");
  cr_assert_eq(grant->handover_state, "state-of-a");
  fixture.Finish(*grant, KeyOrderOutcome::kDone);
  cr_assert(fixture.AppendNextTable());
  cr_assert_not(fixture.Range(0).moving());
}

// Guards against orders of a leader that was replaced while it could not read
// the log.
Test(key_leader, leader_without_confirmation_sends_no_orders) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.AdvanceWithoutLog(KeyLeader::kLeaderLeaseDuration);
  cr_assert(fixture.TakeDueOrders().empty());
  cr_assert_not(fixture.AppendNextTable());
}

// Guards against grants that expire during an outage of the log.
Test(key_leader, grants_are_long_while_the_log_is_unresponsive) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.AdvanceWithoutLog(KeyLeader::kLogUnresponsiveAge);
  const std::vector<KeyOrder> orders = fixture.TakeDueOrders();
  cr_assert_not(orders.empty());
  for (const KeyOrder& order : orders) {
    cr_assert(order.grant_duration == KeyLeader::kLongGrantDuration);
  }
}

// Guards against a new leader that does not know what its predecessor granted.
Test(key_leader, new_leader_waits_for_grants_of_its_predecessor) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  KeyTable other = fixture.leader().table();
  other.leader = "entry-2";
  other.leader_incarnation = 2;
  fixture.leader().OnTable(fixture.now(), other);
  cr_assert(fixture.TakeDueOrders().empty());
  fixture.Advance(Milliseconds(100));
  cr_assert(fixture.AppendNextTable(true));
  const MonotonicTime end = fixture.now() + KeyLeader::kLeaderLeaseDuration +
                            KeyLeader::kLongGrantDuration;
  while (fixture.now() < end) {
    fixture.Advance(Milliseconds(500));
    fixture.AppendNextTable();
    for (const KeyOrder& order : fixture.TakeDueOrders()) {
      cr_assert(order.kind != KeyOrder::Kind::kGrant || order.first > 0 ||
                order.target == "a");
      fixture.Finish(order, order.target == "a" ? KeyOrderOutcome::kUnknown
                                                : KeyOrderOutcome::kDone);
    }
  }
}

// Lets the grant of target "a" expire and returns the table that gives its keys
// to another target. Then "a" answers again.
KeyTable ReassignKeysOfReturningTarget(LeaderFixture& fixture) {
  for (int i = 0; i < 60; ++i) {
    fixture.Advance(Milliseconds(100));
    for (const KeyOrder& order : fixture.TakeDueOrders()) {
      fixture.Finish(order, order.target == "a" ? KeyOrderOutcome::kNotSent
                                                : KeyOrderOutcome::kDone);
    }
  }
  auto next = fixture.leader().NextTable(fixture.now(), false);
  cr_assert(next.has_value());
  KeyOrder probe;
  probe.kind = KeyOrder::Kind::kProbe;
  probe.target = "a";
  fixture.Finish(probe, KeyOrderOutcome::kDone);
  return *std::move(next);
}

// Guards against two owners of a key: the leader that appends the table may
// terminate, and its successor knows nothing of a grant to the former owner.
Test(key_leader, former_owner_is_not_granted_keys_that_an_append_reassigns) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  KeyTable next = ReassignKeysOfReturningTarget(fixture);
  for (int i = 0; i < 20; ++i) {
    fixture.Advance(Milliseconds(100));
    for (const KeyOrder& order : fixture.TakeDueOrders()) {
      cr_assert_neq(order.target, "a");
      fixture.Finish(order, KeyOrderOutcome::kDone);
    }
  }
  fixture.leader().OnTable(fixture.now(), std::move(next));
  const std::vector<KeyOrder> orders = fixture.TakeDueOrders();
  cr_assert(
      std::any_of(orders.begin(), orders.end(), [](const KeyOrder& order) {
        return order.kind == KeyOrder::Kind::kGrant && order.first == 0 &&
               order.target == "b";
      }));
}

// Guards against keys that stay without an owner after such an append failed:
// another version rules it out.
Test(key_leader, owner_is_granted_its_keys_again_after_a_failed_append) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  ReassignKeysOfReturningTarget(fixture);
  fixture.Advance(Milliseconds(300));
  cr_assert(fixture.AppendNextTable());
  cr_assert_eq(fixture.Range(0).owner, "a");
  const std::vector<KeyOrder> orders = fixture.TakeDueOrders();
  cr_assert(
      std::any_of(orders.begin(), orders.end(), [](const KeyOrder& order) {
        return order.kind == KeyOrder::Kind::kGrant && order.target == "a";
      }));
  cr_assert_not(fixture.AppendNextTable());
}

// Guards against keys that stay without an owner when the target that they move
// to is lost.
Test(key_leader, move_to_a_lost_target_is_redirected) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.AddTarget("c");
  cr_assert(fixture.AppendNextTable());
  fixture.RemoveTarget("c");
  for (int i = 0; i < 100; ++i) {
    fixture.Advance(Milliseconds(100));
    fixture.AppendNextTable();
    for (const KeyOrder& order : fixture.TakeDueOrders()) {
      fixture.Finish(order, order.target == "c" ? KeyOrderOutcome::kNotSent
                                                : KeyOrderOutcome::kDone);
    }
  }
  for (std::size_t i = 0; i < fixture.ranges(); ++i) {
    cr_assert_neq(fixture.Range(i).owner, "c");
    cr_assert_not(fixture.Range(i).moving());
  }
}

// Guards against keys that are never granted again after a target has rejected
// their fencing token.
Test(key_leader, rejected_token_is_replaced_by_a_greater_one) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  const FencingToken before = fixture.Range(0).fencing_token;
  fixture.Advance(KeyLeader::kRenewalInterval);
  fixture.FinishDueOrders(KeyOrderOutcome::kFenced);
  cr_assert(fixture.AppendNextTable());
  cr_assert_gt(fixture.Range(0).fencing_token, before);
}

// Guards against a restarted process that is mistaken for the previous one,
// which held the keys.
Test(key_leader, restarted_owner_gets_a_greater_token) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  const FencingToken before = fixture.Range(0).fencing_token;
  fixture.AddTarget("a", 2);
  cr_assert(fixture.AppendNextTable());
  cr_assert_eq(fixture.Range(0).owner, "a");
  cr_assert_gt(fixture.Range(0).fencing_token, before);
  cr_assert_not(fixture.Range(0).moving());
}

// Requires that the keys of target "a" are not granted to another target after
// "a" has restarted and does not answer, when the last grant to it ended with
// `outcome`; with none it is in flight.
void RequireRestartedOwnerKeepsKeys(std::optional<KeyOrderOutcome> outcome) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.Advance(KeyLeader::kRenewalInterval);
  for (const KeyOrder& order : fixture.TakeDueOrders()) {
    if (order.target != "a") {
      fixture.Finish(order, KeyOrderOutcome::kDone);
    } else if (outcome) {
      fixture.Finish(order, *outcome);
    }
  }
  KeyOrder probe;
  probe.kind = KeyOrder::Kind::kProbe;
  probe.target = "a";
  fixture.Finish(probe, KeyOrderOutcome::kNotSent);
  fixture.AddTarget("a", 2);
  fixture.AppendNextTable();
  for (const KeyOrder& order : fixture.TakeDueOrders()) {
    cr_assert(order.kind != KeyOrder::Kind::kGrant || order.target == "a" ||
                  order.first > 0,
              "keys of a were granted to another target");
  }
}

// Guards against two owners of a key: a grant that was sent before the leader
// knew of the restart may have reached the new process.
Test(key_leader, restarted_owner_with_a_recent_grant_keeps_its_keys) {
  RequireRestartedOwnerKeepsKeys(std::nullopt);
  RequireRestartedOwnerKeepsKeys(KeyOrderOutcome::kUnknown);
  RequireRestartedOwnerKeepsKeys(KeyOrderOutcome::kDone);
}

// Guards against two owners of a key when another process answers at the
// address of an entry that is not the target's own: the target holds what it
// was granted before (OWNER).
Test(key_leader, refusal_ends_only_the_grants_to_the_process_that_was_meant) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.AddTarget("a", 2);
  cr_assert(fixture.AppendNextTable());
  const auto finish_orders = [&fixture] {
    bool granted_to_other = false;
    for (const KeyOrder& order : fixture.TakeDueOrders()) {
      granted_to_other =
          granted_to_other || (order.kind == KeyOrder::Kind::kGrant &&
                               order.target == "b" && order.first == 0);
      fixture.Finish(order, order.target == "a" ? KeyOrderOutcome::kGone
                                                : KeyOrderOutcome::kDone);
    }
    return granted_to_other;
  };
  cr_assert_not(finish_orders());
  bool granted = false;
  Milliseconds waited{0};
  constexpr Milliseconds kStep{100};
  for (; waited < KeyLeader::kGrantDuration * 2 && !granted; waited += kStep) {
    fixture.Advance(kStep);
    fixture.AppendNextTable();
    granted = finish_orders();
  }
  cr_assert(granted);
  cr_assert_gt(waited.count(), KeyLeader::kGrantDuration.count());
  cr_assert_lt(waited.count(), (KeyLeader::kGrantDuration * 1.1).count());
}

// Guards against a restarted target that answers before its new entry is read,
// and is granted its keys with the token of its former process (OWNER,
// review/9).
Test(key_leader, target_that_answers_again_gets_a_greater_token) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  const FencingToken before = fixture.Range(0).fencing_token;
  const FencingToken other = fixture.Range(1).fencing_token;
  fixture.Advance(KeyLeader::kRenewalInterval);
  for (const KeyOrder& order : fixture.TakeDueOrders()) {
    fixture.Finish(order, order.target == "a" ? KeyOrderOutcome::kNotSent
                                              : KeyOrderOutcome::kDone);
  }
  bool granted = false;
  for (int i = 0; i < 10 && !granted; ++i) {
    fixture.Advance(Milliseconds(200));
    fixture.AppendNextTable();
    for (const KeyOrder& order : fixture.TakeDueOrders()) {
      if (order.target == "a" && order.kind == KeyOrder::Kind::kGrant) {
        cr_assert_gt(order.fencing_token, before);
        granted = true;
      }
      fixture.Finish(order, KeyOrderOutcome::kDone);
    }
  }
  cr_assert(granted);
  cr_assert_eq(fixture.Range(0).owner, "a");
  cr_assert_not(fixture.Range(0).moving());
  cr_assert_eq(fixture.Range(1).fencing_token, other);
}

// Guards against a handover that is lost, and a release that is sent again,
// because the first grant to the new owner got no answer.
Test(key_leader, unanswered_first_grant_keeps_the_handover) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.SetLeaving("a");
  cr_assert(fixture.AppendNextTable());
  const FencingToken released = fixture.Range(0).fencing_token;
  for (const KeyOrder& order : fixture.TakeDueOrders()) {
    fixture.Finish(order, KeyOrderOutcome::kDone,
                   order.kind == KeyOrder::Kind::kRelease ? "state" : "");
  }
  for (const KeyOrder& order : fixture.TakeDueOrders()) {
    fixture.Finish(order, KeyOrderOutcome::kUnknown);
  }
  bool granted = false;
  for (int i = 0; i < 10 && !granted; ++i) {
    fixture.Advance(Milliseconds(200));
    fixture.AppendNextTable();
    for (const KeyOrder& order : fixture.TakeDueOrders()) {
      cr_assert_neq(order.kind, KeyOrder::Kind::kRelease);
      if (order.kind == KeyOrder::Kind::kGrant && order.first == 0) {
        cr_assert_eq(order.handover_state, "state");
        cr_assert_gt(order.fencing_token, released);
        granted = true;
      }
      fixture.Finish(order, KeyOrderOutcome::kDone);
    }
  }
  cr_assert(granted);
}

// Guards against keys that are taken from a restarted target because its former
// address answers an order late (OWNER).
Test(key_leader, late_refusal_does_not_end_the_next_process) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.Advance(KeyLeader::kRenewalInterval);
  const std::vector<KeyOrder> renewals = fixture.TakeDueOrders();
  fixture.AddTarget("a", 2);
  cr_assert(fixture.AppendNextTable());
  for (const KeyOrder& order : renewals) {
    fixture.Finish(order, order.target == "a" ? KeyOrderOutcome::kGone
                                              : KeyOrderOutcome::kDone);
  }
  fixture.AppendNextTable();
  cr_assert_eq(fixture.Range(0).owner, "a");
  cr_assert_not(fixture.Range(0).moving());
}

// Guards against grants that are no longer renewed because a grant of the whole
// range was in flight while a part of the range was released.
Test(key_leader, rejected_grant_of_a_former_range_does_not_stop_renewals) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.Advance(KeyLeader::kRenewalInterval);
  const std::vector<KeyOrder> orders = fixture.TakeDueOrders();
  fixture.AddTarget("c");
  cr_assert(fixture.AppendNextTable());
  for (const KeyOrder& order : orders) {
    fixture.Finish(order, KeyOrderOutcome::kFenced);
  }
  fixture.Advance(KeyLeader::kRetryDelay);
  const std::vector<KeyOrder> retries = fixture.TakeDueOrders();
  cr_assert(
      std::any_of(retries.begin(), retries.end(), [](const KeyOrder& order) {
        return order.kind == KeyOrder::Kind::kGrant;
      }));
}

// Guards against grants that expire early in an outage of the log: a short
// renewal just before the log counts as unresponsive would be the last one of
// the leader's lease.
Test(key_leader, all_keys_get_a_long_grant_when_the_log_becomes_unresponsive) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.Advance(KeyLeader::kRenewalInterval);
  fixture.AdvanceWithoutLog(KeyLeader::kLogUnresponsiveAge - Milliseconds(10));
  const std::vector<KeyOrder> renewals = fixture.TakeDueOrders();
  fixture.AdvanceWithoutLog(Milliseconds(50));
  for (const KeyOrder& order : renewals) {
    cr_assert(order.grant_duration == KeyLeader::kGrantDuration);
    fixture.Finish(order, KeyOrderOutcome::kDone);
  }
  std::size_t long_grants = 0;
  for (Milliseconds time{0}; time < KeyLeader::kLeaderLeaseDuration;
       time += Milliseconds(100)) {
    fixture.AdvanceWithoutLog(Milliseconds(100));
    for (const KeyOrder& order : fixture.TakeDueOrders()) {
      long_grants +=
          order.grant_duration == KeyLeader::kLongGrantDuration ? 1 : 0;
      fixture.Finish(order, KeyOrderOutcome::kDone);
    }
  }
  cr_assert_eq(long_grants, fixture.ranges());
}

// Guards against a version of the table for each completed move: every instance
// reads every version.
Test(key_leader, completed_moves_are_recorded_together) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.AddTarget("c");
  fixture.SetLeaving("a");
  cr_assert(fixture.AppendNextTable());
  fixture.FinishDueOrders(KeyOrderOutcome::kDone);
  const std::vector<KeyOrder> grants = fixture.TakeDueOrders();
  cr_assert_gt(grants.size(), 1);
  fixture.Finish(grants.front(), KeyOrderOutcome::kDone);
  cr_assert(fixture.AppendNextTable());
  for (std::size_t i = 1; i < grants.size(); ++i) {
    fixture.Finish(grants[i], KeyOrderOutcome::kDone);
  }
  cr_assert_not(fixture.AppendNextTable());
  fixture.Advance(KeyLeader::kMoveCompletionInterval);
  cr_assert(fixture.AppendNextTable());
  for (std::size_t i = 0; i < fixture.ranges(); ++i) {
    cr_assert_not(fixture.Range(i).moving());
  }
}

// Guards against a table that only grows: above a maximum number of ranges no
// busy keys are moved.
Test(key_leader, adjacent_ranges_of_the_same_owner_are_merged) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.AddTarget("c");
  fixture.AppendNextTable();
  fixture.FinishDueOrders(KeyOrderOutcome::kDone);
  fixture.FinishDueOrders(KeyOrderOutcome::kDone);
  fixture.AppendNextTable();
  cr_assert_eq(fixture.ranges(), 3);
  fixture.SetLeaving("c");
  for (int i = 0; i < 20; ++i) {
    fixture.Advance(Milliseconds(300));
    fixture.AppendNextTable();
    fixture.FinishDueOrders(KeyOrderOutcome::kDone);
  }
  // A merge alone causes no new version; the restart of a target does.
  fixture.AddTarget("a", 2);
  cr_assert(fixture.AppendNextTable());
  FencingToken max_token = 0;
  std::uint32_t next = 0;
  for (std::size_t i = 0; i < fixture.ranges(); ++i) {
    cr_assert_eq(fixture.Range(i).first, next);
    next = fixture.Range(i).last + std::uint32_t{1};
    max_token = std::max(max_token, fixture.Range(i).fencing_token);
    cr_assert(i == 0 || fixture.Range(i).owner != fixture.Range(i - 1).owner);
  }
  cr_assert_eq(next, std::uint32_t{kLastKey} + 1);
  cr_assert_leq(max_token, fixture.leader().table().fencing_token);
}

// Guards against two owners of a key: a range that was granted to another
// target while this version was being appended must not be merged before that
// grant has expired.
Test(key_leader, ranges_that_are_not_granted_yet_are_not_merged) {
  LeaderFixture fixture;
  fixture.BecomeLeaderOfTwoTargets();
  fixture.SetLeaving("a");
  cr_assert(fixture.AppendNextTable());
  fixture.AddTarget("c");
  fixture.AppendNextTable();
  for (std::size_t i = 1; i < fixture.ranges(); ++i) {
    cr_assert(fixture.Range(i).owner != fixture.Range(i - 1).owner ||
              fixture.Range(i).moving() || fixture.Range(i - 1).moving());
  }
}

// Guards against two owners after a restore of the log: the leader of the new
// era does not know the last assignments, and another instance does.
Test(key_leader, leader_of_an_outdated_table_sends_no_orders) {
  LeaderFixture fixture;
  fixture.leader().OnLogEra(fixture.now(), 1, false);
  fixture.BecomeLeaderOfTwoTargets();
  fixture.leader().OnLogEra(fixture.now(), 2, true);
  cr_assert(fixture.TakeDueOrders().empty());
  cr_assert(fixture.leader().ShouldTakeOver(fixture.now()));
  cr_assert(fixture.AppendNextTable(true));
  fixture.leader().OnTableOutdated(fixture.leader().table().term);
  for (Milliseconds time{0}; time < Milliseconds(10000);
       time += Milliseconds(500)) {
    fixture.Advance(Milliseconds(500));
    fixture.AppendNextTable();
    cr_assert(fixture.TakeDueOrders().empty());
  }
  // All grants of earlier leaders have expired.
  fixture.Advance(Milliseconds(1000));
  cr_assert(fixture.AppendNextTable());
  for (const KeyOrder& order : fixture.TakeDueOrders()) {
    cr_assert_gt(order.fencing_token, EraBase(2));
  }
}

}  // namespace
}  // namespace snipehall
