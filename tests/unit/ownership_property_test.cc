// Random failures of the ownership protocol, in virtual time.

#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "unit/ownership_world.h"

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

// Shrinking a failure takes minutes; RC_PARAMS in the environment can turn it
// on.
constexpr const char* kParameters = "seed=20261204 max_success=120 noshrink=1";
constexpr Time kFaultTime = 12 * kSecond;
constexpr Time kHealTime = 15 * kSecond;
constexpr std::uint64_t kLeastSteps = 100000;

enum class FaultKind {
  kPauseInstance,
  kRestartInstance,
  kPauseTarget,
  kRestartTarget,
  kLogOutage,
  kSlowLog,
  kCutInstanceFromLog,
  kCutZone,
  kCutZoneFromAll,
  kIsolateInstance,
  kCutTargetButOne,
  kCutRack,
  kCutPair,
  kSlowNetwork,
  kPublish,
  kLeave,
  kCount,
};

struct Fault {
  FaultKind kind;
  Time start;
  Time duration;
  std::size_t a;
  std::size_t b;
};

void showValue(const Fault& fault, std::ostream& out) {
  out << "{kind " << static_cast<int>(fault.kind) << ", at "
      << fault.start / kMs << " ms, for " << fault.duration / kMs << " ms, "
      << fault.a << ", " << fault.b << "}";
}

rc::Gen<Fault> GenFault() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(FaultKind::kCount)),
                     rc::gen::inRange<Time>(0, kFaultTime / kMs),
                     rc::gen::inRange<Time>(50, 5000),
                     rc::gen::inRange<std::size_t>(0, 6),
                     rc::gen::inRange<std::size_t>(0, 6)),
      [](const auto& parts) {
        const auto [kind, start, duration, a, b] = parts;
        return Fault{static_cast<FaultKind>(kind), start * kMs, duration * kMs,
                     a, b};
      });
}

// Cuts the instance off from the log and from all other instances, but not
// from the targets.
void Isolate(World& world, std::size_t instance, Time until) {
  world.instance(instance).log_cut_until = until;
  for (std::size_t other = 0; other < world.instances(); ++other) {
    world.CutPair(instance, other, until);
  }
}

// Cuts the target's node off from all instances but one.
void CutTarget(World& world,
               std::size_t node,
               std::size_t instance,
               Time until) {
  for (std::size_t i = 0; i < world.instances(); ++i) {
    if (i != instance) {
      world.CutPair(i, node, until);
    }
  }
}

std::size_t RackTarget(World& world, const Fault& fault) {
  const std::size_t per_zone = world.targets() / 2;
  const bool second = fault.a % world.instances() >= world.instances() / 2;
  return world.NodeOfTarget(fault.b % per_zone + (second ? per_zone : 0));
}

void Apply(World& world, const Fault& fault) {
  const Time until = world.now() + fault.duration;
  const std::size_t instance = fault.a % world.instances();
  const std::size_t node = world.NodeOfTarget(fault.a % world.targets());
  switch (fault.kind) {
    case FaultKind::kPauseInstance:
      return world.Pause(instance, until);
    case FaultKind::kPauseTarget:
      return world.Pause(node, until);
    case FaultKind::kRestartInstance:
      world.Kill(instance);
      return world.RestartAt(instance, until);
    case FaultKind::kRestartTarget:
      world.Kill(node);
      return world.RestartAt(node, until);
    case FaultKind::kLogOutage:
      world.log_down_until = std::max(world.log_down_until, until);
      return;
    case FaultKind::kSlowLog:
      world.log_slow_until = std::max(world.log_slow_until, until);
      return;
    case FaultKind::kCutInstanceFromLog:
      world.instance(instance).log_cut_until = until;
      return;
    case FaultKind::kCutZone:
      return world.CutZone("z2", false, until);
    case FaultKind::kCutZoneFromAll:
      return world.CutZone("z2", true, until);
    case FaultKind::kIsolateInstance:
      return Isolate(world, instance, until);
    case FaultKind::kCutTargetButOne:
      return CutTarget(world, node, fault.b % world.instances(), until);
    case FaultKind::kCutRack:
      // An instance and a target of one zone reach only each other.
      Isolate(world, instance, until);
      CutTarget(world, RackTarget(world, fault), instance, until);
      return;
    case FaultKind::kCutPair:
      return world.CutPair(instance, fault.b % world.instances(), until);
    case FaultKind::kSlowNetwork:
      world.network_slow_until = std::max(world.network_slow_until, until);
      return;
    case FaultKind::kPublish:
      if (fault.b % 2 == 0) {
        return world.Publish({});
      }
      return world.Publish(
          {{PlanKind::kDrain, "z1-t" + std::to_string(fault.a % 3)}});
    case FaultKind::kLeave:
      world.instance(instance).leaving = true;
      world.instance(instance).controller->Leave({});
      return world.At(until, [&world, instance] {
        world.Kill(instance);
        world.RestartAt(instance, world.now() + kSecond);
      });
    case FaultKind::kCount:
      return;
  }
}

struct Outcome {
  std::vector<std::string> violations;
  bool served = false;
  std::uint64_t steps = 0;
};

// Runs the faults, then a time without faults in which all has to recover.
Outcome RunFaults(const WorldOptions& options,
                  const std::vector<Fault>& faults) {
  World world(options);
  world.RunUntil(3 * kSecond);
  for (const Fault& fault : faults) {
    world.At(3 * kSecond + fault.start,
             [&world, fault] { Apply(world, fault); });
  }
  const Time end = 3 * kSecond + kFaultTime + kHealTime;
  while (world.now() < end && world.violations().empty()) {
    world.RunUntil(world.now() + 500 * kMs);
  }
  if (world.violations().empty()) {
    world.RunUntilTrue(5 * kSecond, [&] { return world.IsServed(); });
  }
  return {world.violations(), world.IsServed(), world.steps()};
}

// Up to 25 faults. Each is drawn from its whole range, whatever the size.
rc::Gen<std::vector<Fault>> GenFaults() {
  return rc::gen::scale(0.25,
                        rc::gen::container<std::vector<Fault>>(
                            rc::gen::resize(rc::kNominalSize, GenFault())));
}

// Checks the invariants under random faults; returns whether they held.
bool Holds(const char* name, OmittedSteps omitted, bool expect_service) {
  // Parameters of the environment, for longer trials, are kept.
  setenv("RC_PARAMS", kParameters, 0);
  std::fprintf(stderr, "%s: %s\n", name, getenv("RC_PARAMS"));
  std::uint64_t steps = 0;
  const bool held = rc::check(name, [&] {
    WorldOptions options;
    options.seed = *rc::gen::arbitrary<std::uint32_t>();
    options.instances_per_zone = *rc::gen::element(3, 2, 1);
    options.move_after = *rc::gen::element<std::optional<Milliseconds>>(
        std::nullopt, Milliseconds(1000));
    options.omitted = omitted;
    options.checks_orders = *rc::gen::element(true, true, false);
    const std::vector<Fault> faults = *GenFaults();
    const Outcome outcome = RunFaults(options, faults);
    steps += outcome.steps;
    if (!outcome.violations.empty()) {
      RC_FAIL(outcome.violations.front());
    }
    if (expect_service && !outcome.served) {
      RC_FAIL("keys are not served after all faults have ended");
    }
  });
  std::fprintf(stderr, "%s: %llu steps\n", name,
               static_cast<unsigned long long>(steps));
  cr_assert(!held || steps >= kLeastSteps);
  return held;
}

}  // namespace

// Guards against two leases on one hash, a configuration that goes back, an
// accepted record that is lost, and keys that are not served again.
Test(ownership_property, invariants_hold_under_faults) {
  cr_assert(Holds("the protocol keeps its invariants", {}, true));
}

// Shows that the test above would find a member that extends leases without
// confirmation.
Test(ownership_property, omitted_confirmation_is_found) {
  cr_assert_not(Holds("without confirmation", {.confirmation = true}, false));
}

// Shows that the test above would find a grant without a wait.
Test(ownership_property, omitted_settlement_is_found) {
  cr_assert_not(Holds("without settlement", {.move_wait = true}, false));
}
