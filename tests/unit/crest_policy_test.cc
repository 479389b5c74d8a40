#include <array>
#include <map>
#include <string>
#include <vector>

#include "coordination/admission_controller.h"
#include "coordination/concurrency_limit.h"
#include "coordination/retry_budget.h"
#include "coordination/target_chooser.h"

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using snipehall::AdmissionController;
using snipehall::AdmissionOutcome;
using snipehall::MonotonicTime;
using snipehall::RouteTarget;
using snipehall::ServiceConfig;
using snipehall::TargetChooser;
using snipehall::Ticket;

constexpr MonotonicTime kStart{1h};

std::vector<RouteTarget> MakeTargets(int count, const std::string& zone) {
  std::vector<RouteTarget> targets;
  targets.reserve(count);
  for (int i = 0; i < count; ++i) {
    targets.push_back({"t" + std::to_string(i), zone, "127.0.0.1:1", false});
  }
  return targets;
}

TargetChooser MakeChooser(int slots) {
  snipehall::TargetChooserOptions options;
  options.own_zone = "ridge-north";
  options.slots_per_endpoint = slots;
  options.seed = 7;
  return TargetChooser::Create(options).value();
}

// A service with a class of short requests, which half of the slots are
// reserved for, and a class of long ones.
ServiceConfig MakeTwoClassService() {
  ServiceConfig service;
  service.name = "hatirlatici";
  service.classes = {{"reminder", 1000ms, 50, 100}, {"photo", 60000ms, 0, 100}};
  return service;
}

}  // namespace

// Guards against an uneven distribution of requests over equal targets.
Test(target_chooser, spreads_over_equal_targets) {
  TargetChooser chooser = MakeChooser(3);
  const auto targets = MakeTargets(8, "ridge-north");
  chooser.SetTargets(kStart, targets);
  for (int i = 0; i < 24; ++i) {
    const auto index = chooser.Choose(kStart);
    cr_assert(index.has_value());
    chooser.OnSent(kStart, targets[*index].id);
  }
  for (std::size_t i = 0; i < targets.size(); ++i) {
    cr_assert_eq(chooser.outstanding(i), 3);
  }
}

// Guards against a target that fails fast, has no requests outstanding because
// of that, and therefore attracts all requests.
Test(target_chooser, fast_failures_do_not_look_idle) {
  TargetChooser chooser = MakeChooser(3);
  const auto targets = MakeTargets(4, "ridge-north");
  chooser.SetTargets(kStart, targets);
  int sent_to_failing = 0;
  MonotonicTime now = kStart;
  for (int i = 0; i < 1000; ++i) {
    now += 1ms;
    const auto index = chooser.Choose(now);
    chooser.OnSent(now, targets[*index].id);
    if (*index == 0) {
      ++sent_to_failing;
      chooser.OnFailed(now, "t0");
      continue;
    }
    chooser.OnAnswered(now, targets[*index].id, {});
  }
  cr_assert_leq(sent_to_failing, 50);
}

// Guards against requests that are sent to a target which accepts them and
// never answers, and against using it again before it has answered a probe.
Test(target_chooser, stalled_target_gets_probes_only) {
  TargetChooser chooser = MakeChooser(3);
  const auto targets = MakeTargets(2, "ridge-north");
  chooser.SetTargets(kStart, targets);
  chooser.OnSent(kStart, "t0");
  const MonotonicTime later = kStart + 1s;
  cr_assert(chooser.IsStalled(later, 0));
  cr_assert_eq(chooser.TakeDueProbes(later).size(), 1U);
  chooser.OnAbandoned("t0");
  cr_assert(chooser.IsStalled(later + 10s, 0));
  cr_assert_eq(chooser.Choose(later + 10s).value(), 1U);
  chooser.OnProbeAnswered(later + 11s, "t0");
  cr_assert_not(chooser.IsStalled(later + 11s, 0));
}

// Guards against new requests for a leaving target, and against a retry at a
// target that the request has already tried.
Test(target_chooser, skips_leaving_and_excluded_targets) {
  TargetChooser chooser = MakeChooser(1);
  auto targets = MakeTargets(3, "ridge-north");
  targets[0].draining = true;
  chooser.SetTargets(kStart, targets);
  for (int i = 0; i < 20; ++i) {
    const std::array<snipehall::TargetId, 1> tried = {"t1"};
    cr_assert_eq(chooser.Choose(kStart, tried).value(), 2U);
  }
}

// Guards against traffic between zones while the own zone has free slots, and
// against queueing in the own zone while other zones have free slots.
Test(target_chooser, prefers_own_zone_while_it_has_free_slots) {
  TargetChooser chooser = MakeChooser(1);
  auto targets = MakeTargets(2, "ridge-north");
  targets.push_back({"far", "ridge-south", "127.0.0.1:1", false});
  chooser.SetTargets(kStart, targets);
  for (int i = 0; i < 2; ++i) {
    const auto index = chooser.Choose(kStart);
    cr_assert_lt(*index, 2U);
    chooser.OnSent(kStart, targets[*index].id);
  }
  cr_assert_eq(chooser.Choose(kStart).value(), 2U);
}

// Guards against a target with cold caches that gets its full share at once.
Test(target_chooser, new_target_is_ramped_up) {
  TargetChooser chooser = MakeChooser(10);
  chooser.SetTargets(kStart, MakeTargets(1, "ridge-north"));
  chooser.SetTargets(kStart, MakeTargets(2, "ridge-north"));
  chooser.OnSent(kStart, "t1");
  cr_assert_geq(chooser.Load(kStart, 1), 1.0);
  cr_assert_leq(chooser.Load(kStart + 5s, 1), 0.11);
}

// Guards against long requests that occupy the slots reserved for short ones.
Test(admission, reserved_slots_stay_free_for_their_class) {
  AdmissionController admission =
      AdmissionController::Create(MakeTwoClassService(), {}).value();
  admission.SetLimit(4);
  Ticket ticket = 0;
  for (int i = 0; i < 10; ++i) {
    admission.Admit(kStart, ++ticket, 1, "a", kStart + 60s);
  }
  cr_assert_eq(admission.running(1), 2);
  cr_assert_eq(admission.Admit(kStart, ++ticket, 0, "a", kStart + 1s),
               AdmissionOutcome::kStart);
}

// Guards against queueing requests that cannot meet their deadline.
Test(admission, refuses_requests_that_would_miss_their_deadline) {
  AdmissionController admission =
      AdmissionController::Create(MakeTwoClassService(), {}).value();
  admission.SetLimit(1);
  cr_assert_eq(admission.Admit(kStart, 1, 0, "a", kStart + 1s),
               AdmissionOutcome::kStart);
  admission.Finish(0, 100ms);
  cr_assert_eq(admission.Admit(kStart, 2, 0, "a", kStart + 1s),
               AdmissionOutcome::kStart);
  cr_assert_eq(admission.Admit(kStart, 3, 0, "a", kStart + 150ms),
               AdmissionOutcome::kTooLate);
  cr_assert_eq(admission.Admit(kStart, 4, 0, "a", kStart + 1s),
               AdmissionOutcome::kWait);
}

// Guards against a burst of requests from one tenant that starves the others.
Test(admission, tenants_are_served_round_robin) {
  AdmissionController admission =
      AdmissionController::Create(MakeTwoClassService(), {}).value();
  admission.SetLimit(1);
  Ticket ticket = 0;
  std::map<Ticket, std::string> tenant_of;
  admission.Admit(kStart, ++ticket, 0, "campaign", kStart + 60s);
  for (int i = 0; i < 60; ++i) {
    tenant_of[++ticket] = "campaign";
    admission.Admit(kStart, ticket, 0, "campaign", kStart + 60s);
  }
  for (int i = 0; i < 10; ++i) {
    tenant_of[++ticket] = "salon";
    cr_assert_eq(admission.Admit(kStart, ticket, 0, "salon", kStart + 60s),
                 AdmissionOutcome::kWait);
  }
  int salon_started = 0;
  std::vector<Ticket> expired;
  for (int i = 0; i < 20; ++i) {
    admission.Finish(0, 1ms);
    const auto next = admission.Next(kStart, expired);
    cr_assert(next.has_value());
    salon_started += tenant_of[*next] == "salon" ? 1 : 0;
  }
  cr_assert_geq(salon_started, 9);
  cr_assert(expired.empty());
}

// Guards against a waiting request that both expires and starts, or does
// neither.
Test(admission, each_waiting_request_ends_once) {
  AdmissionController admission =
      AdmissionController::Create(MakeTwoClassService(), {}).value();
  admission.SetLimit(1);
  admission.Admit(kStart, 1, 0, "a", kStart + 1s);
  for (Ticket ticket = 2; ticket <= 50; ++ticket) {
    admission.Admit(kStart, ticket, 0, "t" + std::to_string(ticket % 5),
                    kStart + (ticket % 2 == 0 ? 1s : 10s));
  }
  cr_assert(admission.Remove(3));
  cr_assert_not(admission.Remove(3));
  std::vector<Ticket> ended;
  admission.Finish(0, 1ms);
  while (const auto next = admission.Next(kStart + 5s, ended)) {
    ended.push_back(*next);
    admission.Finish(0, 1ms);
  }
  std::sort(ended.begin(), ended.end());
  cr_assert_eq(ended.size(), 48U);
  cr_assert(std::adjacent_find(ended.begin(), ended.end()) == ended.end());
  cr_assert_eq(admission.waiting(0), 0);
}

// Guards against instances that together run more requests than there are slots
// at peak load, or that leave slots unused while other instances are idle.
Test(concurrency_limit, stays_between_equal_share_and_all_slots) {
  auto limit = snipehall::ConcurrencyLimit::Create(24, 8).value();
  cr_assert_eq(limit.limit(), 3);
  MonotonicTime now = kStart;
  for (int i = 0; i < 2000; ++i) {
    limit.OnAnswered(now += 1ms, limit.limit(), false);
  }
  cr_assert_eq(limit.limit(), 24);
  for (int i = 0; i < 2000; ++i) {
    limit.OnAnswered(now += 1ms, limit.limit(), true);
  }
  cr_assert_eq(limit.limit(), 3);
}

// Guards against a retry storm while a service fails.
Test(retry_budget, retries_are_a_fraction_of_requests) {
  snipehall::RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.TryTake() ? 1 : 0;
  }
  cr_assert_leq(retries, 121);
  cr_assert_geq(retries, 100);
}
