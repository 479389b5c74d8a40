// Property tests of the range ownership protocol under random faults, in
// virtual time.

#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "unit/ownership_simulation.h"

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

// Default RapidCheck parameters. Shrinking is off because it takes minutes for
// a failure; set RC_PARAMS in the environment to turn it on.
constexpr const char* kRapidCheckParameters =
    "seed=20261204 max_success=120 noshrink=1";
// Faults start within this time after the cluster has started.
constexpr Time kFaultPhase = 12 * kSecond;
// Additional time of a run, for faults to end and for recovery.
constexpr Time kRecoveryPhase = 15 * kSecond;
// Minimum number of simulated events over all runs of a passing property.
constexpr std::uint64_t kMinSteps = 100000;

enum class FaultKind {
  kPauseInstance,
  kRestartInstance,
  kPauseTarget,
  kRestartTarget,
  kLogOutage,
  kSlowLog,
  kDisconnectInstanceFromLog,
  kDisconnectZone,
  kIsolateZone,
  kIsolateInstance,
  kDisconnectTargetFromAllButOne,
  kIsolateRack,
  kDisconnectInstances,
  kSlowNetwork,
  kPublishConfiguration,
  kShutDownInstance,
  kCount,
};

// A fault to inject. `a` and `b`, modulo the number of choices, select the
// affected nodes or the content of a published configuration.
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
                     rc::gen::inRange<Time>(0, kFaultPhase / kMs),
                     rc::gen::inRange<Time>(50, 5000),
                     rc::gen::inRange<std::size_t>(0, 6),
                     rc::gen::inRange<std::size_t>(0, 6)),
      [](const auto& parts) {
        const auto [kind, start, duration, a, b] = parts;
        return Fault{static_cast<FaultKind>(kind), start * kMs, duration * kMs,
                     a, b};
      });
}

// Disconnects the instance from the log and from all other instances, but not
// from the targets.
void IsolateInstance(ClusterSimulation& simulation,
                     std::size_t instance,
                     Time until) {
  simulation.instance(instance).log_unreachable_until = until;
  for (std::size_t other = 0; other < simulation.instances(); ++other) {
    simulation.DisconnectPair(instance, other, until);
  }
}

// Disconnects the target's node from all instances but one.
void DisconnectTarget(ClusterSimulation& simulation,
                      std::size_t node,
                      std::size_t instance,
                      Time until) {
  for (std::size_t i = 0; i < simulation.instances(); ++i) {
    if (i != instance) {
      simulation.DisconnectPair(i, node, until);
    }
  }
}

// Returns the node of a target in the zone of the instance that the fault
// selects.
std::size_t SelectTargetInSameZone(ClusterSimulation& simulation,
                                   const Fault& fault) {
  const std::size_t per_zone = simulation.targets() / 2;
  const bool in_second_zone =
      fault.a % simulation.instances() >= simulation.instances() / 2;
  return simulation.NodeOfTarget(fault.b % per_zone +
                                 (in_second_zone ? per_zone : 0));
}

// Injects the fault at the current time.
void InjectFault(ClusterSimulation& simulation, const Fault& fault) {
  const Time until = simulation.now() + fault.duration;
  const std::size_t instance = fault.a % simulation.instances();
  const std::size_t node =
      simulation.NodeOfTarget(fault.a % simulation.targets());
  switch (fault.kind) {
    case FaultKind::kPauseInstance:
      return simulation.Pause(instance, until);
    case FaultKind::kPauseTarget:
      return simulation.Pause(node, until);
    case FaultKind::kRestartInstance:
      simulation.Kill(instance);
      return simulation.RestartAt(instance, until);
    case FaultKind::kRestartTarget:
      simulation.Kill(node);
      return simulation.RestartAt(node, until);
    case FaultKind::kLogOutage:
      simulation.log_down_until = std::max(simulation.log_down_until, until);
      return;
    case FaultKind::kSlowLog:
      simulation.log_slow_until = std::max(simulation.log_slow_until, until);
      return;
    case FaultKind::kDisconnectInstanceFromLog:
      simulation.instance(instance).log_unreachable_until = until;
      return;
    case FaultKind::kDisconnectZone:
      return simulation.DisconnectZone("z2", false, until);
    case FaultKind::kIsolateZone:
      return simulation.DisconnectZone("z2", true, until);
    case FaultKind::kIsolateInstance:
      return IsolateInstance(simulation, instance, until);
    case FaultKind::kDisconnectTargetFromAllButOne:
      return DisconnectTarget(simulation, node,
                              fault.b % simulation.instances(), until);
    case FaultKind::kIsolateRack:
      // The target reaches only this instance, which is in the same zone and
      // reaches neither the log nor other instances.
      IsolateInstance(simulation, instance, until);
      DisconnectTarget(simulation, SelectTargetInSameZone(simulation, fault),
                       instance, until);
      return;
    case FaultKind::kDisconnectInstances:
      return simulation.DisconnectPair(instance,
                                       fault.b % simulation.instances(), until);
    case FaultKind::kSlowNetwork:
      simulation.network_slow_until =
          std::max(simulation.network_slow_until, until);
      return;
    case FaultKind::kPublishConfiguration:
      if (fault.b % 2 == 0) {
        return simulation.PublishConfiguration({});
      }
      return simulation.PublishConfiguration(
          {{PlanKind::kDrain, "z1-t" + std::to_string(fault.a % 3)}});
    case FaultKind::kShutDownInstance:
      simulation.instance(instance).leaving = true;
      simulation.instance(instance).controller->Leave({});
      return simulation.ScheduleAt(until, [&simulation, instance] {
        simulation.Kill(instance);
        simulation.RestartAt(instance, simulation.now() + kSecond);
      });
    case FaultKind::kCount:
      return;
  }
}

struct RunResult {
  std::vector<std::string> violations;
  bool served = false;
  std::uint64_t steps = 0;
};

// Runs a simulation with the faults, then a phase for recovery. Stops at the
// first violation.
RunResult RunWithFaults(const SimulationOptions& options,
                        const std::vector<Fault>& faults) {
  ClusterSimulation simulation(options);
  simulation.RunUntil(3 * kSecond);
  for (const Fault& fault : faults) {
    simulation.ScheduleAt(3 * kSecond + fault.start, [&simulation, fault] {
      InjectFault(simulation, fault);
    });
  }
  const Time end = 3 * kSecond + kFaultPhase + kRecoveryPhase;
  while (simulation.now() < end && simulation.violations().empty()) {
    simulation.RunUntil(simulation.now() + 500 * kMs);
  }
  if (simulation.violations().empty()) {
    simulation.RunUntilTrue(5 * kSecond, [&] { return simulation.IsServed(); });
  }
  return {simulation.violations(), simulation.IsServed(), simulation.steps()};
}

// Generates up to 25 faults. Each fault is drawn from its whole range, whatever
// the generation size.
rc::Gen<std::vector<Fault>> GenFaults() {
  return rc::gen::scale(0.25,
                        rc::gen::container<std::vector<Fault>>(
                            rc::gen::resize(rc::kNominalSize, GenFault())));
}

// Checks the invariants under random faults and prints the parameters and the
// number of simulated events. With `expect_service`, all keys must be served
// again at the end of each run. Returns whether all runs passed.
bool InvariantsHold(const char* name,
                    OmittedSteps omitted,
                    bool expect_service) {
  // Parameters that are set in the environment, for example for longer runs,
  // take precedence.
  setenv("RC_PARAMS", kRapidCheckParameters, 0);
  std::fprintf(stderr, "%s: %s\n", name, getenv("RC_PARAMS"));
  std::uint64_t steps = 0;
  const bool passed = rc::check(name, [&] {
    SimulationOptions options;
    options.seed = *rc::gen::arbitrary<std::uint32_t>();
    options.instances_per_zone = *rc::gen::element(3, 2, 1);
    options.move_after = *rc::gen::element<std::optional<Milliseconds>>(
        std::nullopt, Milliseconds(1000));
    options.omitted = omitted;
    options.checks_orders = *rc::gen::element(true, true, false);
    const std::vector<Fault> faults = *GenFaults();
    const RunResult run_result = RunWithFaults(options, faults);
    steps += run_result.steps;
    if (!run_result.violations.empty()) {
      RC_FAIL(run_result.violations.front());
    }
    if (expect_service && !run_result.served) {
      RC_FAIL("keys are not served after all faults have ended");
    }
  });
  std::fprintf(stderr, "%s: %llu steps\n", name,
               static_cast<unsigned long long>(steps));
  cr_assert(!passed || steps >= kMinSteps);
  return passed;
}

}  // namespace

// Guards against two leases on one hash, a configuration that is reverted, an
// accepted record that is lost, and keys that are not served again after faults
// such as pauses, restarts, log outages and network partitions.
Test(ownership_property, invariants_hold_under_faults) {
  cr_assert(InvariantsHold("the protocol keeps its invariants", {}, true));
}

// Checks that the test above detects a member that extends leases without a
// confirmation of its state.
Test(ownership_property, omitted_confirmation_is_detected) {
  cr_assert_not(
      InvariantsHold("without confirmation", {.confirmation = true}, false));
}

// Checks that the test above detects a moved range that is granted to its new
// owner without waiting until the lease of the former owner has ended.
Test(ownership_property, omitted_move_wait_is_detected) {
  cr_assert_not(
      InvariantsHold("without the wait before a moved range is granted",
                     {.move_wait = true}, false));
}
