#include "coordination/request_admission.h"

#include <algorithm>
#include <deque>
#include <set>
#include <vector>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

using std::chrono::milliseconds;
using Action = AdmissionDecision::Action;

constexpr MonotonicTime kStart{std::chrono::seconds(1000)};

AdmissionInput Input(int priority, milliseconds objective) {
  AdmissionInput input;
  input.priority = priority;
  input.urgent_priority = 0;
  input.urgent_objective = milliseconds(800);
  input.received_at = kStart;
  input.objective = objective;
  input.deadline = kStart + 3 * objective;
  input.service_time = milliseconds(300);
  return input;
}

// Load: a burst of uploads beside payouts at one service. `slots` serve in
// order of arrival; each request takes the same time.
struct Outcome {
  int urgent = 0;
  int urgent_in_time = 0;
  int other = 0;
  int other_served = 0;
};

Outcome PlayBurst(bool admits) {
  constexpr int kSlots = 8;
  constexpr milliseconds kService{300};
  constexpr milliseconds kStep{10};
  constexpr int kSteps = 1000;
  RequestAdmission admission(1);
  std::deque<MonotonicTime> ends(kSlots, kStart);
  struct Held {
    AdmissionInput input;
    MonotonicTime at;
  };
  std::deque<Held> held;
  Outcome outcome;
  for (int step = 0; step < kSteps; ++step) {
    const MonotonicTime now = kStart + step * kStep;
    std::vector<Held> due;
    std::erase_if(held, [&](const Held& item) {
      if (item.at <= now) {
        due.push_back(item);
      }
      return item.at <= now;
    });
    // 27 requests per second can be served; 8 urgent and 33 others arrive.
    if (step % 12 == 0) {
      due.push_back({Input(0, milliseconds(800)), now});
      due.back().input.received_at = now;
      ++outcome.urgent;
    }
    if (step % 3 == 0) {
      due.push_back({Input(2, milliseconds(3000)), now});
      due.back().input.received_at = now;
      ++outcome.other;
    }
    for (Held& item : due) {
      std::sort(ends.begin(), ends.end());
      AdmissionInput& input = item.input;
      input.deadline = input.received_at + 3 * input.objective;
      input.expected_wait = std::max(
          milliseconds(0),
          std::chrono::duration_cast<milliseconds>(ends.front() - now));
      const AdmissionDecision decision =
          admits ? admission.Decide(now, input) : AdmissionDecision();
      if (decision.action == Action::kWait) {
        input.held = true;
        held.push_back({input, decision.retry_at});
      } else if (decision.action == Action::kSend) {
        ends.front() = std::max(ends.front(), now) + kService;
        const bool is_urgent = input.priority == 0;
        const bool in_time =
            ends.front() <= input.received_at + input.objective;
        outcome.urgent_in_time += is_urgent && in_time ? 1 : 0;
        outcome.other_served +=
            !is_urgent && ends.front() <= input.deadline ? 1 : 0;
      }
    }
  }
  return outcome;
}

Test(request_admission, urgent_requests_are_served_in_time_beside_a_burst) {
  const Outcome admitted = PlayBurst(true);
  const Outcome unranked = PlayBurst(false);
  cr_assert(admitted.urgent_in_time >= admitted.urgent * 0.95, "%d of %d",
            admitted.urgent_in_time, admitted.urgent);
  cr_assert(unranked.urgent_in_time < unranked.urgent / 2, "%d of %d",
            unranked.urgent_in_time, unranked.urgent);
  // Other requests get the rest of the room, which is not left empty.
  cr_assert(admitted.other_served >= admitted.other / 2, "%d of %d",
            admitted.other_served, admitted.other);
}

Test(request_admission, less_urgent_requests_do_not_starve) {
  RequestAdmission admission(1);
  AdmissionInput input = Input(2, milliseconds(3000));
  // Urgent requests keep the queue at what they may find.
  input.expected_wait = RequestAdmission::MaxWait(Input(0, milliseconds(800)));
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    sent += admission.Decide(kStart, input).action == Action::kSend ? 1 : 0;
  }
  cr_assert(sent > 50 && sent < 200, "%d of 1000 are sent", sent);
  input.expected_wait = milliseconds(0);
  cr_assert(admission.Decide(kStart, input).action == Action::kSend);
}

Test(request_admission, what_cannot_be_served_is_refused_at_once) {
  RequestAdmission admission(1);
  AdmissionInput input = Input(0, milliseconds(800));
  input.deadline = kStart + milliseconds(100);
  const AdmissionDecision decision = admission.Decide(kStart, input);
  cr_assert(decision.action == Action::kRefuse);
  cr_assert(decision.retry_after.count() == 0, "the caller has no time left");
}

Test(request_admission, a_service_time_that_is_too_long_is_probed) {
  RequestAdmission admission(1);
  AdmissionInput input = Input(0, milliseconds(800));
  input.service_time = milliseconds(60000);
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    sent += admission.Decide(kStart, input).action == Action::kSend ? 1 : 0;
  }
  cr_assert(sent > 5 && sent < 50, "%d of 1000 are sent", sent);
  input.expected_wait = milliseconds(1);
  for (int i = 0; i < 1000; ++i) {
    cr_assert(admission.Decide(kStart, input).action == Action::kRefuse);
  }
}

Test(request_admission, a_request_does_not_become_urgent_by_asking_again) {
  RequestAdmission admission(1);
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    AdmissionInput input = Input(2, milliseconds(5000));
    input.expected_wait =
        RequestAdmission::MaxWait(Input(0, milliseconds(800)));
    MonotonicTime now = kStart;
    AdmissionDecision decision = admission.Decide(now, input);
    while (decision.action == Action::kWait) {
      now = decision.retry_at;
      input.held = true;
      decision = admission.Decide(now, input);
    }
    sent += decision.action == Action::kSend ? 1 : 0;
  }
  cr_assert(sent > 50 && sent < 150, "%d of 1000 are sent", sent);
}

Test(request_admission, refused_callers_return_at_different_times_in_time) {
  RequestAdmission admission(1);
  AdmissionInput input = Input(1, milliseconds(1200));
  input.expected_wait = milliseconds(900);
  const MonotonicTime now = kStart + milliseconds(400);
  std::set<milliseconds> times;
  for (int i = 0; i < 200; ++i) {
    const AdmissionDecision decision = admission.Decide(now, input);
    if (decision.action == Action::kRefuse) {
      times.insert(decision.retry_after);
      cr_assert(decision.retry_after * 3 <= input.deadline - now);
    }
  }
  cr_assert(times.size() > 50, "%zu different times", times.size());
}

Test(request_admission, a_request_is_held_for_a_short_time_only) {
  RequestAdmission admission(1);
  AdmissionInput input = Input(0, milliseconds(800));
  input.expected_wait = milliseconds(700);
  MonotonicTime now = kStart;
  AdmissionDecision decision = admission.Decide(now, input);
  while (decision.action == Action::kWait) {
    cr_assert(decision.retry_at > now);
    now = decision.retry_at;
    decision = admission.Decide(now, input);
  }
  cr_assert(decision.action == Action::kRefuse);
  cr_assert(now - kStart <= input.objective / 8);
}

}  // namespace
}  // namespace snipehall
