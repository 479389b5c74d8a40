#include "coordination/shutdown_schedule.h"

#include <chrono>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

using namespace std::chrono_literals;

constexpr MonotonicTime kNow{100s};

// Guards against steps at fixed distances from the limit: with a short limit,
// requests would be ended long before its last sixth, or not before its end.
Test(shutdown_schedule, keeps_its_order_for_every_limit) {
  for (const Milliseconds limit : {600ms, 1000ms, 2000ms, 6000ms, 30000ms}) {
    const auto schedule = ShutdownSchedule::Create(kNow, limit);
    cr_assert(schedule.accept_until > kNow);
    cr_assert(schedule.accept_until <= schedule.refuses_long_requests_at);
    cr_assert(schedule.refuses_long_requests_at < kNow + limit / 2);
    cr_assert(schedule.responses_due_at > kNow + limit * 5 / 6);
    cr_assert(schedule.ends_at > schedule.responses_due_at);
    cr_assert(schedule.ends_at < kNow + limit);
  }
}

// Guards against refusing new connections while the load balancer still sends
// them.
Test(shutdown_schedule, accepts_until_the_load_balancer_has_noticed) {
  const auto schedule = ShutdownSchedule::Create(kNow, 6000ms);
  cr_assert(schedule.accept_until >= kNow + 2500ms);
}

}  // namespace
}  // namespace snipehall
