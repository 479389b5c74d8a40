#include "transport/gateway/permit_requests.h"

#include <utility>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

constexpr MonotonicTime kNow{std::chrono::hours(1)};

Test(permit_requests, response_completes_its_request_once) {
  PermitRequests requests(7);
  int granted = 0;
  const auto count = [&granted](const LeaderPermitResponse& response) {
    granted += response.granted ? 1 : 0;
  };
  const std::uint64_t first = requests.Add(kNow, count);
  const std::uint64_t second = requests.Add(kNow, count);
  cr_assert_neq(first, second);
  requests.Complete({second, true, Milliseconds(0)});
  requests.Complete({second, true, Milliseconds(0)});
  cr_assert_eq(granted, 1);
}

// Guards against more requests than a target's rate limit allows: a leader that
// was suspended answers the requests of an instance's former process.
Test(permit_requests, response_to_the_former_process_is_ignored) {
  PermitRequests former(0x1234567890abcdef);
  const std::uint64_t number = former.Add(kNow, [](const auto&) {});
  PermitRequests requests(0xfedcba0987654321);
  int responses = 0;
  for (int i = 0; i < 100; ++i) {
    requests.Add(kNow, [&responses](const auto&) { ++responses; });
  }
  for (std::uint64_t i = 0; i < 100; ++i) {
    requests.Complete({number + i, true, Milliseconds(0)});
  }
  cr_assert_eq(responses, 0);
}

// Guards against requests that are forgotten before they expire, since they are
// kept in the order of their numbers.
Test(permit_requests, numbers_grow_from_the_greatest_incarnation) {
  PermitRequests requests(~Incarnation{0});
  std::uint64_t last = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::uint64_t number = requests.Add(kNow, [](const auto&) {});
    cr_assert_gt(number, last);
    last = number;
  }
}

}  // namespace
}  // namespace snipehall
