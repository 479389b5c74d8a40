#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "unit/support/data_fixture.h"
#include "unit/support/gateway_fixture.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;

constexpr int kCallers = 200;
// On a slow machine the requests together take seconds.
constexpr GatewayFixture::Options kOptions = {.timeout = milliseconds(30000)};

bool AnswerOk(RawSocket& connection, const std::string& head) {
  return connection.Send(GatewayFixture::OkResponse(
      HeaderOf(head, "Snipehall-Request-Id"), "body"));
}

// Counts the callers that get a complete response: a target's, or a refusal of
// a request that has not run, for example because a connection to the target
// took too long.
int CountAnswered(std::vector<RawSocket>& callers) {
  int answered = 0;
  std::map<int, int> statuses;
  for (RawSocket& caller : callers) {
    const Response response = ReadResponse(caller);
    ++statuses[response.status];
    const bool truthful = response.status == 200 || response.status == 503;
    answered += response.complete && truthful ? 1 : 0;
  }
  for (const auto& [status, count] : statuses) {
    cr_log_info("status %d: %d responses", status, count);
  }
  return answered;
}

std::string Read(int number) {
  return GatewayFixture::Request("GET", "/read/item", std::to_string(number));
}

// Load: connections and requests arrive while the process is busy, which then
// stops accepting. Those in the listener's backlog have been accepted as far as
// their callers can tell, so each must be answered.
Test(gateway_shutdown, connections_in_the_backlog_are_answered) {
  FakeTarget target(AnswerOk);
  GatewayFixture gateway({target.address()}, kOptions);
  std::vector<RawSocket> callers;
  gateway.Run([&] {
    gateway.server().BeginDrain();
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(gateway.Connect());
      callers.back().Send(Read(i));
    }
    gateway.server().CloseCallerListener();
    gateway.server().CloseIdle();
  });
  const int answered = CountAnswered(callers);
  cr_assert(answered == kCallers, "%d of %d requests were answered", answered,
            kCallers);
  cr_assert(Eventually([&] {
    return gateway.Run([&] { return !gateway.server().has_open_sessions(); });
  }));
}

// A caller that has just connected has its first request on the way.
Test(gateway_shutdown, new_connections_are_not_closed_before_their_request) {
  FakeTarget target(AnswerOk);
  GatewayFixture gateway({target.address()}, kOptions);
  std::vector<RawSocket> callers;
  gateway.Run([&] {
    gateway.server().BeginDrain();
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(gateway.Connect());
    }
    gateway.server().CloseCallerListener();
    gateway.server().CloseIdle();
  });
  for (int i = 0; i < kCallers; ++i) {
    callers[i].Send(Read(i));
  }
  const int answered = CountAnswered(callers);
  cr_assert(answered == kCallers, "%d of %d requests were answered", answered,
            kCallers);
}

// Connections that stay without a request do not hold up the end.
Test(gateway_shutdown, idle_connections_are_closed) {
  FakeTarget target(AnswerOk);
  GatewayFixture gateway({target.address()});
  RawSocket caller = gateway.Connect();
  cr_assert(caller.Send(Read(1)));
  cr_assert(ReadResponse(caller).status == 200);
  cr_assert(Eventually([&] {
    return gateway.Run([&] {
      gateway.server().CloseIdle();
      return !gateway.server().has_open_sessions();
    });
  }));
  cr_assert(caller.IsAtEnd());
}

}  // namespace
}  // namespace snipehall::test
