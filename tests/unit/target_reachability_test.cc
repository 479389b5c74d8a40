#include "coordination/target_reachability.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(100)};

MonotonicTime At(int milliseconds) {
  return kStart + Milliseconds(milliseconds);
}

// Runs a round of probes that is due at `now` and ends 300 ms later.
void RunRound(TargetReachability& reachability, int now, bool connected) {
  const int count = reachability.ProbesDue(At(now));
  cr_assert_gt(count, 0);
  reachability.OnProbesStarted(At(now), count,
                               count == TargetReachability::kConfirmingProbes);
  for (int i = 0; i < count; ++i) {
    reachability.OnProbeEnded(At(now + 300), connected && i == 0);
  }
}

// Guards against an instance that counts as cut off because one target is gone.
Test(target_reachability, one_failure_proves_nothing) {
  TargetReachability reachability;
  reachability.OnConnectFailed(At(0));
  cr_assert_not(reachability.cut_off());
  RunRound(reachability, 300, true);
  cr_assert_not(reachability.cut_off());
  cr_assert_eq(reachability.ProbesDue(At(5000)), 0);
}

// Guards against probes for each failure while other targets are reached.
Test(target_reachability, connection_made_meanwhile_answers_a_failure) {
  TargetReachability reachability;
  reachability.OnConnected(At(200));
  reachability.OnConnectFailed(At(100));
  cr_assert_eq(reachability.ProbesDue(At(400)), 0);
}

Test(target_reachability, failed_probes_show_the_cut_and_its_end) {
  TargetReachability reachability;
  reachability.OnConnectFailed(At(0));
  RunRound(reachability, 300, false);
  cr_assert(reachability.cut_off());
  cr_assert_eq(reachability.ProbesDue(At(600)), 0);
  RunRound(reachability, 700, false);
  cr_assert(reachability.cut_off());
  RunRound(reachability, 1100, true);
  cr_assert_not(reachability.cut_off());
}

// Guards against waiting for requests that hang on connections made before the
// cut until their deadlines pass.
Test(target_reachability, silence_is_followed_by_probes) {
  TargetReachability reachability;
  reachability.OnRequestSent(At(0));
  cr_assert_eq(reachability.ProbesDue(At(900)), 0);
  RunRound(reachability, 1000, false);
  cr_assert_not(reachability.cut_off(), "a single probe counted");
  RunRound(reachability, 1300, false);
  cr_assert(reachability.cut_off());
}

// Guards against probes while requests are answered, or none is in progress.
Test(target_reachability, answered_requests_need_no_probes) {
  TargetReachability reachability;
  for (int now = 0; now < 5000; now += 500) {
    reachability.OnRequestSent(At(now));
    cr_assert_eq(reachability.ProbesDue(At(now + 400)), 0);
    reachability.OnRequestEnded(At(now + 400), true);
  }
  cr_assert_eq(reachability.ProbesDue(At(60000)), 0);
}

}  // namespace
}  // namespace snipehall
