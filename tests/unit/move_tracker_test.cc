// Interleavings that would grant a range to two targets.

#include "coordination/move_tracker.h"

#include "coordination/clock_drift.h"

#include <criterion/criterion.h>

using namespace snipehall;  // NOLINT(google-build-using-namespace)

namespace {

constexpr LogOffset kMove = 4;

MonotonicTime At(int ms) {
  return MonotonicTime(Milliseconds(1000000 + ms));
}

Heartbeat From(const char* id, LogOffset offset, Incarnation incarnation = 1) {
  Heartbeat heartbeat;
  heartbeat.from = id;
  heartbeat.incarnation = incarnation;
  heartbeat.offset = offset;
  heartbeat.confirmed = true;
  return heartbeat;
}

LeaseAnswer Holding(LogOffset set, int in_progress = 0) {
  LeaseAnswer answer;
  answer.accepted = true;
  answer.incarnation = 9;
  answer.assignment_version = set;
  answer.revoked_ranges_in_progress = in_progress;
  return answer;
}

// Group g with members 1, 2 and 3; instance 1 sees record 4 move the whole
// space from target a to target b.
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
    Apply(kMove, {"4", "", 3, move});
    tracker.OnMembers(At(-10000), "g");
    tracker.OnAssignment(At(0), kMove, move, &replaced);
    peers.UpdateSelf(At(0), state.offset());
  }

  void Apply(LogOffset offset, const Record& record) {
    cr_assert_eq(state.Apply(offset, record), ApplyOutcome::kAccepted);
  }

  bool IsSettledAt(int ms) {
    peers.UpdateSelf(At(ms), state.offset());
    tracker.Update({state, peers, leases, At(ms), "1", true});
    const OwnedRange& owned = state.FindAssignment("s")->ranges.front();
    return !tracker.GrantableRanges("s", owned).empty();
  }
  void Answer(int sent, int received, const Heartbeat& heartbeat) {
    peers.OnAnswer(At(sent), At(received), heartbeat);
  }
};

}  // namespace

// Guards against a wait that starts when the mover reads the move: members
// that have not read it confirm each other until a majority has.
Test(move_tracker, waits_from_the_majority_read) {
  Fixture world;
  world.Answer(10, 20, From("2", kMove - 1));
  cr_assert_not(world.IsSettledAt(5000));
  world.Answer(5000, 5010, From("2", kMove));
  world.Answer(5020, 5030, From("2", kMove));
  cr_assert_not(world.IsSettledAt(5040));
  cr_assert_not(world.IsSettledAt(5040 + 1110));
  cr_assert(world.IsSettledAt(5040 + 1112));
}

// Guards against a majority made of answers that no moment has in common: a
// member that restarts forgets what it read.
Test(move_tracker, restarted_member_does_not_count) {
  Fixture world;
  world.IsSettledAt(0);
  world.peers = PeerTable("x", 1, 10);  // A mover outside the group.
  world.Answer(10, 20, From("2", kMove));
  world.Answer(30, 40, From("3", kMove));
  world.Answer(50, 60, From("3", kMove));
  world.Answer(50, 60, From("2", kMove - 1, 2));
  const std::vector<InstanceId> members{"1", "2", "3"};
  cr_assert_not(world.peers.MajorityHasRead(members, kMove));
  world.Answer(70, 80, From("2", kMove, 2));
  world.Answer(90, 100, From("2", kMove, 2));
  cr_assert_not(world.peers.MajorityHasRead(members, kMove));
  world.Answer(90, 100, From("3", kMove));
  cr_assert(world.peers.MajorityHasRead(members, kMove));
}

// Guards against a release that was confirmed before the majority had read the
// move: a member that had not could give the old set to a restarted target.
Test(move_tracker, release_counts_after_the_majority_read) {
  Fixture world;
  world.leases.OnAnswer(At(10), At(20), "a", Holding(kMove));
  world.Answer(30, 40, From("2", kMove));
  world.Answer(50, 60, From("2", kMove));
  cr_assert_not(world.IsSettledAt(70));
  world.leases.OnAnswer(At(80), At(90), "a", Holding(kMove, 1));
  cr_assert_not(world.IsSettledAt(100));
  world.leases.OnAnswer(At(110), At(120), "a", Holding(kMove));
  cr_assert(world.IsSettledAt(130));
}

// Guards against the shortcut when a member restarted shortly before: its
// earlier process may have extended a lease that it does not report.
Test(move_tracker, shortcut_waits_for_leases_of_earlier_processes) {
  Fixture world;
  cr_assert_not(world.IsSettledAt(0));
  for (const char* id : {"2", "3"}) {
    world.Answer(10, 20, From(id, kMove));
    world.Answer(30, 40, From(id, kMove));
  }
  cr_assert_not(world.IsSettledAt(50));
  for (const char* id : {"2", "3"}) {
    world.Answer(60, 70, From(id, kMove));
  }
  cr_assert_not(world.IsSettledAt(20 + 605));
  cr_assert(world.IsSettledAt(20 + 607));
}

// Guards against the shortcut while a member may still extend the range.
Test(move_tracker, shortcut_needs_every_member) {
  Fixture world;
  cr_assert_not(world.IsSettledAt(0));
  world.Answer(10, 20, From("2", kMove));
  world.Answer(30, 40, From("2", kMove));
  world.Answer(30, 40, From("3", kMove - 1));
  cr_assert_not(world.IsSettledAt(50));
  world.Answer(60, 70, From("2", kMove));
  cr_assert_not(world.IsSettledAt(1000));
  cr_assert(world.IsSettledAt(50 + 1112));
}

// Guards against a grant while requests that a router sent may still run at a
// target that does not check orders.
Test(move_tracker, unchecked_targets_wait_for_deadlines) {
  Fixture world(false);
  world.Answer(10, 20, From("2", kMove));
  world.Answer(30, 40, From("2", kMove));
  cr_assert_not(world.IsSettledAt(50));
  world.leases.OnAnswer(At(60), At(70), "a", Holding(kMove));
  cr_assert_not(world.IsSettledAt(50 + 1111 + 1000));
  cr_assert(world.IsSettledAt(50 + 1112 + 1010));
}

// Guards against a takeover by `move_after` that the group's members may not
// know of: those that never read the setting do not stop by themselves.
Test(move_tracker, isolation_needs_a_majority_that_knows_the_setting) {
  Fixture unknown(true, Milliseconds(2000));
  cr_assert_not(unknown.IsSettledAt(0));
  cr_assert_not(unknown.IsSettledAt(60000));

  Fixture known(true, Milliseconds(2000));
  known.Answer(-100, -90, From("2", 1));
  known.Answer(-80, -70, From("2", 1));
  cr_assert_not(known.IsSettledAt(0));
  cr_assert_not(known.IsSettledAt(3130));
  cr_assert(known.IsSettledAt(3132));
}
