// Guards against interleavings of moves, heartbeats and restarts that would
// grant a range to two targets at the same time.

#include "coordination/move_tracker.h"

#include "coordination/clock_drift.h"

#include <criterion/criterion.h>

using namespace snipehall;  // NOLINT(google-build-using-namespace)

namespace {

constexpr LogOffset kMoveOffset = 4;

MonotonicTime At(int ms) {
  return MonotonicTime(Milliseconds(1000000 + ms));
}

Heartbeat MakeHeartbeat(const char* id,
                        LogOffset offset,
                        Incarnation incarnation = 1) {
  Heartbeat heartbeat;
  heartbeat.from = id;
  heartbeat.incarnation = incarnation;
  heartbeat.offset = offset;
  heartbeat.confirmed = true;
  return heartbeat;
}

LeaseAnswer MakeLeaseAnswer(LogOffset version, int in_progress = 0) {
  LeaseAnswer answer;
  answer.accepted = true;
  answer.incarnation = 9;
  answer.assignment_version = version;
  answer.revoked_ranges_in_progress = in_progress;
  return answer;
}

// The group "g" has the members 1, 2 and 3. Instance 1, the one under test,
// reads record 4 at time 0, which moves the whole hash space from target "a" to
// "b".
struct Fixture {
  ControllerTiming timing;
  ClusterState state;
  PeerTable peers{"1", 1, 10};
  LeaseTable leases{timing};
  MoveTracker tracker{timing, false};

  explicit Fixture(bool checks_orders = true,
                   std::optional<Milliseconds> move_after = std::nullopt) {
    Configuration configuration;
    configuration.zones = {{"g", "r"}};
    ServiceConfig service;
    service.name = "s";
    service.keyed = true;
    service.checks_orders = checks_orders;
    service.move_after = move_after;
    service.default_class = "c";
    service.classes = {ClassConfig{"c"}};
    service.key_ranges = {{{}, "g"}};
    configuration.services = {service};
    configuration.tenants = {{"default"}};
    Apply(1, {"1", "", 0, ConfigurationRecord{configuration}});
    Apply(2, {"2", "", 0, MembersRecord{"g", {"1", "2", "3"}}});
    Apply(3, {"3", "", 0, AssignmentRecord{"s", {{{}, "a", "g"}}}});
    peers.UpdateSelf(At(-200), state.offset());
    const ServiceAssignment replaced = *state.FindAssignment("s");
    const AssignmentRecord move{"s", {{{}, "b", "g"}}};
    Apply(kMoveOffset, {"4", "", 3, move});
    tracker.OnMembers(At(-10000), "g");
    tracker.OnAssignment(At(0), kMoveOffset, move, &replaced);
    peers.UpdateSelf(At(0), state.offset());
  }

  void Apply(LogOffset offset, const Record& record) {
    cr_assert_eq(state.Apply(offset, record), ApplyOutcome::kAccepted);
  }

  bool IsGrantableAt(int ms) {
    peers.UpdateSelf(At(ms), state.offset());
    tracker.Update({state, peers, leases, At(ms), "1", true});
    const OwnedRange& owned = state.FindAssignment("s")->ranges.front();
    return !tracker.GrantableRanges("s", owned).empty();
  }
  void ReceiveHeartbeat(int sent_ms,
                        int received_ms,
                        const Heartbeat& heartbeat) {
    peers.OnAnswer(At(sent_ms), At(received_ms), heartbeat);
  }
};

}  // namespace

// Guards against a wait that starts when the instance under test reads the
// move. Members that have not read it confirm each other's state until a
// majority has read it, so the wait must start then.
Test(move_tracker, wait_starts_when_a_majority_has_read_the_move) {
  Fixture fixture;
  fixture.ReceiveHeartbeat(10, 20, MakeHeartbeat("2", kMoveOffset - 1));
  cr_assert_not(fixture.IsGrantableAt(5000));
  fixture.ReceiveHeartbeat(5000, 5010, MakeHeartbeat("2", kMoveOffset));
  fixture.ReceiveHeartbeat(5020, 5030, MakeHeartbeat("2", kMoveOffset));
  cr_assert_not(fixture.IsGrantableAt(5040));
  cr_assert_not(fixture.IsGrantableAt(5040 + 1110));
  cr_assert(fixture.IsGrantableAt(5040 + 1112));
}

// Guards against counting a majority from answers that were never true at the
// same time: a member that restarts forgets which records it has read.
Test(move_tracker, restarted_member_does_not_count) {
  Fixture fixture;
  fixture.IsGrantableAt(0);
  fixture.peers = PeerTable("x", 1, 10);  // An instance outside the group.
  fixture.ReceiveHeartbeat(10, 20, MakeHeartbeat("2", kMoveOffset));
  fixture.ReceiveHeartbeat(30, 40, MakeHeartbeat("3", kMoveOffset));
  fixture.ReceiveHeartbeat(50, 60, MakeHeartbeat("3", kMoveOffset));
  fixture.ReceiveHeartbeat(50, 60, MakeHeartbeat("2", kMoveOffset - 1, 2));
  const std::vector<InstanceId> members{"1", "2", "3"};
  cr_assert_not(fixture.peers.MajorityHasRead(members, kMoveOffset));
  fixture.ReceiveHeartbeat(70, 80, MakeHeartbeat("2", kMoveOffset, 2));
  fixture.ReceiveHeartbeat(90, 100, MakeHeartbeat("2", kMoveOffset, 2));
  cr_assert_not(fixture.peers.MajorityHasRead(members, kMoveOffset));
  fixture.ReceiveHeartbeat(90, 100, MakeHeartbeat("3", kMoveOffset));
  cr_assert(fixture.peers.MajorityHasRead(members, kMoveOffset));
}

// Guards against counting a release that the former owner confirmed before a
// majority had read the move. A member that had not read it could still grant
// the old ranges to the target after a restart.
Test(move_tracker, release_counts_only_after_a_majority_has_read_the_move) {
  Fixture fixture;
  fixture.leases.OnAnswer(At(10), At(20), "a", MakeLeaseAnswer(kMoveOffset));
  fixture.ReceiveHeartbeat(30, 40, MakeHeartbeat("2", kMoveOffset));
  fixture.ReceiveHeartbeat(50, 60, MakeHeartbeat("2", kMoveOffset));
  cr_assert_not(fixture.IsGrantableAt(70));
  fixture.leases.OnAnswer(At(80), At(90), "a", MakeLeaseAnswer(kMoveOffset, 1));
  cr_assert_not(fixture.IsGrantableAt(100));
  fixture.leases.OnAnswer(At(110), At(120), "a", MakeLeaseAnswer(kMoveOffset));
  cr_assert(fixture.IsGrantableAt(130));
}

// Guards against completing a move before the full wait when a member restarted
// shortly before: its earlier process may have extended a lease that the new
// one does not report.
Test(move_tracker, early_completion_waits_for_leases_of_earlier_processes) {
  Fixture fixture;
  cr_assert_not(fixture.IsGrantableAt(0));
  for (const char* id : {"2", "3"}) {
    fixture.ReceiveHeartbeat(10, 20, MakeHeartbeat(id, kMoveOffset));
    fixture.ReceiveHeartbeat(30, 40, MakeHeartbeat(id, kMoveOffset));
  }
  cr_assert_not(fixture.IsGrantableAt(50));
  for (const char* id : {"2", "3"}) {
    fixture.ReceiveHeartbeat(60, 70, MakeHeartbeat(id, kMoveOffset));
  }
  cr_assert_not(fixture.IsGrantableAt(20 + 605));
  cr_assert(fixture.IsGrantableAt(20 + 607));
}

// Guards against completing a move before the full wait while a member that has
// not read it may still extend the lease on the range.
Test(move_tracker, early_completion_requires_every_member) {
  Fixture fixture;
  cr_assert_not(fixture.IsGrantableAt(0));
  fixture.ReceiveHeartbeat(10, 20, MakeHeartbeat("2", kMoveOffset));
  fixture.ReceiveHeartbeat(30, 40, MakeHeartbeat("2", kMoveOffset));
  fixture.ReceiveHeartbeat(30, 40, MakeHeartbeat("3", kMoveOffset - 1));
  cr_assert_not(fixture.IsGrantableAt(50));
  fixture.ReceiveHeartbeat(60, 70, MakeHeartbeat("2", kMoveOffset));
  cr_assert_not(fixture.IsGrantableAt(1000));
  cr_assert(fixture.IsGrantableAt(50 + 1112));
}

// Guards against a grant while requests that an instance sent may still be in
// progress at a target that does not check fencing tokens.
Test(move_tracker, move_from_targets_without_checks_waits_for_deadlines) {
  Fixture fixture(false);
  fixture.ReceiveHeartbeat(10, 20, MakeHeartbeat("2", kMoveOffset));
  fixture.ReceiveHeartbeat(30, 40, MakeHeartbeat("2", kMoveOffset));
  cr_assert_not(fixture.IsGrantableAt(50));
  fixture.leases.OnAnswer(At(60), At(70), "a", MakeLeaseAnswer(kMoveOffset));
  cr_assert_not(fixture.IsGrantableAt(50 + 1111 + 1000));
  cr_assert(fixture.IsGrantableAt(50 + 1112 + 1010));
}

// Guards against moving ranges of an isolated zone after `move_after` when
// members of the group may not have read that setting: those do not stop
// extending leases on their own.
Test(move_tracker, isolation_period_requires_a_majority_that_read_the_setting) {
  Fixture setting_unread(true, Milliseconds(2000));
  cr_assert_not(setting_unread.IsGrantableAt(0));
  cr_assert_not(setting_unread.IsGrantableAt(60000));

  Fixture setting_read(true, Milliseconds(2000));
  setting_read.ReceiveHeartbeat(-100, -90, MakeHeartbeat("2", 1));
  setting_read.ReceiveHeartbeat(-80, -70, MakeHeartbeat("2", 1));
  cr_assert_not(setting_read.IsGrantableAt(0));
  cr_assert_not(setting_read.IsGrantableAt(3130));
  cr_assert(setting_read.IsGrantableAt(3132));
}
