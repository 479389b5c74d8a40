#include <atomic>
#include <string>

#include "unit/support/data_fixture.h"
#include "unit/support/gateway_fixture.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

// Ends the connection without a response to each request for "/read/poison" or
// "/order/poison", as a target does that crashes.
bool CrashOnPoison(RawSocket& connection, const std::string& head) {
  if (head.find("/poison") != std::string::npos) {
    return false;
  }
  return connection.Send(GatewayFixture::OkResponse(
      HeaderOf(head, "Snipehall-Request-Id"), "body"));
}

// Sends a request over a new connection and returns the status.
int Send(const GatewayFixture& gateway,
         const std::string& method,
         const std::string& path,
         const std::string& id) {
  RawSocket caller = gateway.Connect();
  cr_assert(caller.Send(GatewayFixture::Request(
      method, path, id, method == "POST" ? "Content-Length: 0\r\n" : "")));
  return ReadResponse(caller).status;
}

std::size_t CountDeliveries(FakeTarget& target, const std::string& path) {
  std::size_t count = 0;
  for (const std::string& head : target.heads()) {
    count += head.find(path) != std::string::npos ? 1 : 0;
  }
  return count;
}

// Guards against a request that crashes target after target.
Test(gateway_poison_request, request_is_sent_three_times_at_most) {
  FakeTarget target(CrashOnPoison);
  GatewayFixture gateway({target.address()}, {.max_attempts = 1});
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(Send(gateway, "POST", "/order/poison", std::to_string(i)),
                 502);
  }
  for (int i = 3; i < 12; ++i) {
    cr_assert_eq(Send(gateway, "POST", "/order/poison", std::to_string(i)),
                 400);
  }
  cr_assert_eq(CountDeliveries(target, "/order/poison"), 3);
  cr_assert_eq(Send(gateway, "POST", "/order/other", "other"), 200);
}

// Guards against retries of the same attempt that crash further targets.
Test(gateway_poison_request, retries_of_an_attempt_count) {
  FakeTarget target(CrashOnPoison);
  GatewayFixture gateway({target.address()}, {.max_attempts = 3});
  for (int i = 0; i < 6; ++i) {
    const int status = Send(gateway, "GET", "/read/poison", std::to_string(i));
    cr_assert_eq(status, i == 0 ? 502 : 400);
  }
  cr_assert_eq(CountDeliveries(target, "/read/poison"), 3);
}

// Guards against proper requests that are refused because they were at a target
// when it crashed for another reason.
Test(gateway_poison_request, requests_at_a_crashed_target_are_not_refused) {
  std::atomic<int> waiting = 0;
  std::atomic<bool> crashed = false;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    if (!crashed) {
      ++waiting;
      while (waiting < 12) {
        std::this_thread::yield();
      }
      return false;
    }
    return connection.Send(GatewayFixture::OkResponse(
        HeaderOf(head, "Snipehall-Request-Id"), "body"));
  });
  GatewayFixture gateway({target.address()}, {.max_attempts = 1});
  std::vector<std::thread> callers;
  callers.reserve(12);
  for (int i = 0; i < 12; ++i) {
    // All requests are the same but for their IDs.
    callers.emplace_back([&gateway, i] {
      cr_assert_eq(Send(gateway, "POST", "/order/a", std::to_string(i)), 502);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  crashed = true;
  cr_assert_eq(Send(gateway, "POST", "/order/a", "again"), 200);
}

// Guards against a proper request that is refused after losses with successes
// in between.
Test(gateway_poison_request, request_that_succeeds_is_not_refused) {
  std::atomic<int> deliveries = 0;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    return ++deliveries % 3 == 0 &&
           connection.Send(GatewayFixture::OkResponse(
               HeaderOf(head, "Snipehall-Request-Id"), "body"));
  });
  GatewayFixture gateway({target.address()}, {.max_attempts = 1});
  for (int i = 1; i <= 12; ++i) {
    cr_assert_eq(Send(gateway, "GET", "/read/a", std::to_string(i)),
                 i % 3 == 0 ? 200 : 502);
  }
}

}  // namespace
}  // namespace snipehall::test
