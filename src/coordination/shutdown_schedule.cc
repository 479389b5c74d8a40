#include "coordination/shutdown_schedule.h"

#include <algorithm>

namespace snipehall {

namespace {

// The load balancer checks readiness every second, removes an instance after
// two failed checks, and sends it new connections until then.
constexpr Milliseconds kMaxAcceptTime{2600};
// Parts of the shutdown limit. A response that arrives at the beginning of the
// last sixth has to be handled before requests are ended, also on a machine
// whose processor pauses for a tenth of a second.
constexpr int kExcusedDivisor = 6;
constexpr int kLateResponseDivisor = 40;
// For sending the responses that end requests.
constexpr int kSendDivisor = 30;
// Between the latest request that is sent to a target whatever its deadline,
// and half of the limit.
constexpr int kArrivalDivisor = 60;

}  // namespace

ShutdownSchedule ShutdownSchedule::Create(MonotonicTime now,
                                          Milliseconds limit) {
  ShutdownSchedule schedule;
  schedule.refuses_long_requests_at = now + limit / 2 - limit / kArrivalDivisor;
  schedule.accept_until =
      std::min(now + kMaxAcceptTime, schedule.refuses_long_requests_at);
  schedule.responses_due_at =
      now + limit - limit / kExcusedDivisor + limit / kLateResponseDivisor;
  schedule.ends_at = schedule.responses_due_at + limit / kSendDivisor;
  return schedule;
}

}  // namespace snipehall
