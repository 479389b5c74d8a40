// Tests the components of the controller: confirmation, leases, membership and
// the application of log entries with gaps.

#include "coordination/confirmation.h"
#include "coordination/lease_table.h"
#include "coordination/log_applier.h"
#include "coordination/membership.h"

#include <criterion/criterion.h>

using namespace snipehall;  // NOLINT(google-build-using-namespace)

namespace {

using Members = std::vector<InstanceId>;

MonotonicTime At(int ms) {
  return MonotonicTime(Milliseconds(1000000 + ms));
}

Heartbeat From(const char* id, LogOffset offset, bool confirmed = true) {
  Heartbeat heartbeat;
  heartbeat.from = id;
  heartbeat.incarnation = 1;
  heartbeat.offset = offset;
  heartbeat.confirmed = confirmed;
  return heartbeat;
}

LogEntry Group(LogOffset offset, const char* group, Members members) {
  return {offset,
          Record{group, "", 0, MembersRecord{group, std::move(members)}}};
}

ClusterState StateOf(const std::vector<LogEntry>& entries) {
  ClusterState state;
  for (const LogEntry& entry : entries) {
    state.Apply(entry.offset, *entry.record);
  }
  return state;
}

LeaseAnswer Answer(Incarnation incarnation,
                   std::int64_t clock_ms,
                   LogOffset range_set_version) {
  LeaseAnswer answer;
  answer.accepted = true;
  answer.incarnation = incarnation;
  answer.clock_ms = clock_ms;
  answer.assignment_version = range_set_version;
  return answer;
}

}  // namespace

// Guards against counting members towards a majority that are ahead of this
// instance, or that have restarted and have no confirmed state.
Test(confirmation, majority_excludes_ahead_and_unconfirmed_members) {
  const ClusterState state = StateOf({Group(1, "g", {"1", "2", "3"})});
  PeerTable peers("1", 1, 10);
  Confirmation confirmation("1");
  confirmation.OnCompleteRead(At(0));
  peers.OnAnswer(At(100), At(110), From("2", 2));
  peers.OnAnswer(At(100), At(110), From("3", 1, false));
  confirmation.Update(At(120), state, peers);
  cr_assert_eq(confirmation.ConfirmedAt("g"), At(0));
  peers.OnAnswer(At(200), At(210), From("3", 1));
  confirmation.Update(At(220), state, peers);
  cr_assert_eq(confirmation.ConfirmedAt("g"), At(200));
  cr_assert_eq(confirmation.ConfirmedAt("h"), At(0));
}

// Guards against a restarted member that counts itself towards a majority, or
// that counts in one group because the majority of another group confirmed its
// state.
Test(confirmation, starting_member_needs_all_its_groups) {
  const ClusterState state =
      StateOf({Group(1, "g", {"1", "2", "3"}), Group(2, "h", {"1", "4", "5"})});
  PeerTable peers("1", 1, 10);
  Confirmation confirmation("1");
  peers.OnAnswer(At(100), At(110), From("2", 2));
  confirmation.Update(At(120), state, peers);
  cr_assert_not(confirmation.ConfirmedAt("g").has_value());
  peers.OnAnswer(At(100), At(110), From("3", 2));
  confirmation.Update(At(120), state, peers);
  cr_assert_eq(confirmation.ConfirmedAt("g"), At(100));
  cr_assert_not(confirmation.ever_confirmed());
  peers.OnAnswer(At(100), At(110), From("4", 2));
  peers.OnAnswer(At(100), At(110), From("5", 1));
  confirmation.Update(At(120), state, peers);
  cr_assert_not(confirmation.ever_confirmed(),
                "instance 5 has not read the members of group h");
  peers.OnAnswer(At(130), At(140), From("5", 2));
  confirmation.Update(At(150), state, peers);
  cr_assert(confirmation.ever_confirmed());
}

// Guards against a lease deadline that is computed from the send time of the
// order instead of from the target's clock reading, and against a range
// set that is not sent to a restarted target.
Test(lease_table, deadline_and_range_set) {
  const ControllerTiming timing;
  LeaseTable leases(timing);
  const RangeSet range_set{5, {{{0, 9}, 5}}, true};
  cr_assert_eq(leases.NextStep(At(0), "t", range_set, true), LeaseStep::kQuery);
  leases.OnQuerySent(At(0), "t");
  leases.OnAnswer(At(0), At(10), "t", Answer(7, 5000, 0));
  cr_assert_eq(leases.NextStep(At(20), "t", range_set, true),
               LeaseStep::kExtendWithRanges);
  const LeaseOrder order =
      leases.MakeOrder(At(100), "t", range_set, LeaseStep::kExtendWithRanges);
  cr_assert_eq(order.deadline_ms, 5600);
  cr_assert(order.ranges == range_set.ranges);
  cr_assert_eq(leases.Remaining(At(110)).at("t"), 10 + 606 - 110);
  leases.OnAnswer(At(100), At(110), "t", Answer(7, 5100, 5));
  cr_assert_eq(leases.NextStep(At(200), "t", range_set, true),
               LeaseStep::kNothing);
  cr_assert_eq(leases.NextStep(At(250), "t", range_set, true),
               LeaseStep::kExtend);
  cr_assert_eq(leases.NextStep(At(250), "t", range_set, false),
               LeaseStep::kQuery);
  leases.OnQuerySent(At(250), "t");
  leases.OnAnswer(At(250), At(260), "t", Answer(8, 10, 0));
  cr_assert_eq(leases.NextStep(At(270), "t", range_set, true),
               LeaseStep::kExtendWithRanges);
}

// Guards against a target that is considered silent after one lost message, and
// against a stopped target that is not considered silent.
Test(lease_table, silence_detection) {
  LeaseTable leases{ControllerTiming()};
  leases.OnQuerySent(At(0), "t");
  cr_assert_not(leases.IsUnresponsive(At(200), "t"));
  cr_assert(leases.IsUnresponsive(At(301), "t"));
  leases.OnAnswer(At(0), At(310), "t", Answer(7, 5000, 0));
  cr_assert(leases.IsAnswering(At(320), "t"));
  leases.OnFailure(At(330), "t");
  cr_assert_not(leases.IsUnresponsive(At(500), "t"));
  leases.OnFailure(At(380), "t");
  cr_assert(leases.IsUnresponsive(At(500), "t"));
  leases.RestartWatch(At(600));
  cr_assert_not(leases.IsUnresponsive(At(700), "t"));
}

// Guards against a group that lacks local members although enough are
// available, and against a group that shrinks or replaces members without need.
Test(membership, prefers_local_and_replaces_lost_members) {
  std::vector<MemberCandidate> candidates = {{"a", true, true, false},
                                             {"b", false, true, false},
                                             {"c", false, true, false},
                                             {"d", true, true, false}};
  cr_assert(PlanMembers(nullptr, candidates) == (Members{"a", "d", "b"}));
  const GroupMembers group{"g", 1, {"a", "d", "b"}, {}};
  cr_assert_not(PlanMembers(&group, candidates).has_value());
  candidates[0] = {"a", true, false, true};
  cr_assert(PlanMembers(&group, candidates) == (Members{"d", "b", "c"}));
  candidates[1].available = candidates[2].available = false;
  cr_assert_not(PlanMembers(&group, candidates).has_value());
  candidates.push_back({"e", true, true, false});
  candidates.push_back({"f", true, true, false});
  cr_assert(PlanMembers(&group, candidates) == (Members{"d", "e", "f"}));
}

// Guards against applying records after a gap without the missing ones, and
// against a snapshot that reverts the state to an earlier offset.
Test(log_applier, gap_is_closed_by_a_snapshot) {
  const std::vector<LogEntry> log = {
      Group(1, "g", {"1"}),
      Group(2, "h", {"1"}),
      Group(3, "i", {"1"}),
      {4,
       Record{
           "s", "", 2,
           StateOf({Group(1, "g", {"1"}), Group(2, "h", {"1"})}).ToSnapshot()}},
      Group(5, "j", {"1"})};
  LogApplier complete;
  int event_count = 0;
  complete.AddEntries(log, [&](const ApplyEvent&) { ++event_count; });
  cr_assert_eq(event_count, 5);
  LogApplier lagging;
  const auto ignore_event = [](const ApplyEvent&) {};
  lagging.AddEntries(std::vector<LogEntry>{log[4]}, ignore_event);
  cr_assert_eq(lagging.state().offset(), 0U);
  cr_assert_eq(lagging.next_read_offset(), 1U);
  lagging.AdvanceFirst(3);
  cr_assert_eq(lagging.next_read_offset(), 6U);
  lagging.AddEntries(std::vector<LogEntry>{log[2], log[3]}, ignore_event);
  cr_assert(lagging.state() == complete.state());
  cr_assert_eq(lagging.next_read_offset(), 6U);
  LogApplier peer;
  peer.AddEntries(lagging.RecordsFrom(1), ignore_event);
  cr_assert(peer.state() == complete.state());
  peer.AddEntries(log, ignore_event);
  cr_assert(peer.state() == complete.state());
}
