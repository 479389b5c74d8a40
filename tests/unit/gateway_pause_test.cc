#include <atomic>
#include <string>
#include <thread>

#include "unit/support/data_fixture.h"
#include "unit/support/gateway_fixture.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;

constexpr GatewayFixture::Options kKeyed = {.max_attempts = 1, .keyed = true};

// A refusal of the request in `head` with `fields`.
std::string Refusal(const std::string& head, const std::string& fields) {
  return "HTTP/1.1 503 Service Unavailable\r\nSnipehall-Request-Id: " +
         HeaderOf(head, "Snipehall-Request-Id") +
         "\r\nSnipehall-Not-Run: 1\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

bool AnswerOk(RawSocket& connection, const std::string& head) {
  return connection.Send(GatewayFixture::OkResponse(
      HeaderOf(head, "Snipehall-Request-Id"), "body"));
}

Response Read(const GatewayFixture& gateway, int number) {
  RawSocket caller = gateway.Connect();
  cr_assert(caller.Send(GatewayFixture::Request(
      "GET", "/read/item", std::to_string(number), "Snipehall-Key: 1\r\n")));
  return ReadResponse(caller);
}

// Guards against requests to a target that has asked for a pause with
// Retry-After. Callers are told how long it lasts.
Test(gateway_pause, target_gets_no_requests_until_its_pause_has_ended) {
  std::atomic<int> arrivals = 0;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    return ++arrivals == 1
               ? connection.Send(Refusal(head, "Retry-After: 0.8\r\n"))
               : AnswerOk(connection, head);
  });
  GatewayFixture gateway({target.address()}, kKeyed);
  cr_assert_eq(Read(gateway, 0).status, 503);
  const auto paused = std::chrono::steady_clock::now();
  int refused = 0;
  while (std::chrono::steady_clock::now() < paused + milliseconds(700)) {
    const Response response = Read(gateway, ++refused);
    cr_assert_eq(response.status, 503);
    const double wait = std::stod(HeaderOf(response.head, "Retry-After"));
    cr_assert(wait > 0 && wait <= 0.8, "Retry-After is %f", wait);
    std::this_thread::sleep_for(milliseconds(20));
  }
  cr_assert_eq(arrivals, 1);
  std::this_thread::sleep_until(paused + milliseconds(900));
  cr_assert_eq(Read(gateway, 1000).status, 200);
}

Test(gateway_pause, requests_go_to_other_targets_meanwhile) {
  std::atomic<int> arrivals = 0;
  FakeTarget paused([&](RawSocket& connection, const std::string& head) {
    ++arrivals;
    return connection.Send(Refusal(head, "Retry-After: 30\r\n"));
  });
  FakeTarget other(AnswerOk);
  GatewayFixture gateway({paused.address(), other.address()});
  for (int i = 0; i < 40; ++i) {
    cr_assert_eq(Read(gateway, i).status, 200);
  }
  cr_assert_leq(arrivals, 1);
}

// A refusal without Retry-After, or with one that is not a number of seconds,
// asks for no pause.
Test(gateway_pause, refusals_without_a_time_ask_for_no_pause) {
  for (const char* field : {"", "Retry-After: soon\r\n", "Retry-After: -1\r\n",
                            "Retry-After: Fri, 31 Dec 2999 23:59:59 GMT\r\n",
                            "Retry-After: 0\r\n"}) {
    std::atomic<int> arrivals = 0;
    FakeTarget target([&](RawSocket& connection, const std::string& head) {
      return ++arrivals == 1 ? connection.Send(Refusal(head, field))
                             : AnswerOk(connection, head);
    });
    GatewayFixture gateway({target.address()}, kKeyed);
    cr_assert_eq(Read(gateway, 0).status, 503);
    cr_assert_eq(Read(gateway, 1).status, 200);
  }
}

}  // namespace
}  // namespace snipehall::test
