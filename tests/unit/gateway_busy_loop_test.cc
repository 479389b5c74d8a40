#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "unit/support/busy_loop.h"
#include "unit/support/data_fixture.h"
#include "unit/support/gateway_fixture.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

bool AnswerOk(RawSocket& connection, const std::string& head) {
  return connection.Send(GatewayFixture::OkResponse(
      HeaderOf(head, "Snipehall-Request-Id"), "body"));
}

std::string Read(int number, const std::string& more_fields = {}) {
  return GatewayFixture::Request("GET", "/read/item", std::to_string(number),
                                 "Snipehall-Key: 1\r\n" + more_fields);
}

// Leaves the gateway an idle connection to the target, on which a request can
// be sent at once.
void OpenTargetConnection(GatewayFixture& gateway) {
  RawSocket caller = gateway.Connect();
  caller.Send(Read(0));
  cr_assert(ReadResponse(caller).status == 200);
  cr_assert(Eventually([&] {
    return gateway.Run([&] { return gateway.context().pools.idle(); }) == 1;
  }));
}

void SetDraining(GatewayFixture& gateway, bool draining) {
  TargetList targets = gateway.context().state.targets();
  for (auto& [id, target] : targets) {
    target.draining = draining;
  }
  gateway.context().state.SetTargets(std::move(targets));
}

// Connects a caller whose request waits for a target.
RawSocket ConnectWaitingCaller(GatewayFixture& gateway,
                               const std::string& more_fields = {}) {
  gateway.Run([&] { SetDraining(gateway, true); });
  RawSocket caller = gateway.Connect();
  caller.Send(Read(1, more_fields));
  cr_assert(Eventually([&] {
    return gateway.Run([&] { return gateway.server().active_requests(); }) == 1;
  }));
  return caller;
}

// Waits until a later request is answered, which is sent after any earlier one.
void RequireNotSent(GatewayFixture& gateway,
                    FakeTarget& target,
                    const std::string& id) {
  RawSocket caller = gateway.Connect();
  caller.Send(Read(1000));
  cr_assert(ReadResponse(caller).status == 200);
  for (const std::string& head : target.heads()) {
    cr_assert(HeaderOf(head, "Snipehall-Request-Id") != id,
              "the request was sent");
  }
}

constexpr GatewayFixture::Options kKeyed = {.keyed = true};

// Load: a leader in a burst of orders has hundreds of ready handlers. A caller
// gives up when its connection is not served within a second.
Test(gateway_busy_loop, connections_wait_no_second_to_be_accepted) {
  constexpr int kCallers = 100;
  FakeTarget target(AnswerOk);
  GatewayFixture gateway({target.address()});
  const BusyLoop busy(gateway.context().executor);
  std::vector<RawSocket> callers;
  const Clock::time_point begin = Clock::now();
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(gateway.Connect());
    cr_assert(callers.back().Send(Read(i)));
  }
  const bool accepted = Eventually([&] {
    return gateway.Run([&] { return gateway.context().sessions.size(); }) ==
           kCallers;
  });
  const auto time =
      std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
  cr_assert(accepted && time < milliseconds(1000),
            "accepting all connections took %lld ms",
            static_cast<long long>(time.count()));
}

// The request and the close behind it are in the socket when it is read.
Test(gateway_busy_loop, request_of_departed_caller_is_not_sent) {
  FakeTarget target(AnswerOk);
  GatewayFixture gateway({target.address()});
  OpenTargetConnection(gateway);
  gateway.Run([&] {
    RawSocket caller = gateway.Connect();
    caller.Send(Read(1));
  });
  RequireNotSent(gateway, target, "1");
}

// The event that ends the wait is handled before the caller's close.
Test(gateway_busy_loop, waiting_request_of_departed_caller_is_not_sent) {
  FakeTarget target(AnswerOk);
  GatewayFixture gateway({target.address()}, kKeyed);
  OpenTargetConnection(gateway);
  RawSocket caller = ConnectWaitingCaller(gateway);
  gateway.Run([&] {
    caller.Close();
    SetDraining(gateway, false);
  });
  RequireNotSent(gateway, target, "1");
}

// The event that ends the wait is handled before the deadline's timer.
Test(gateway_busy_loop, waiting_request_is_not_sent_after_its_deadline) {
  FakeTarget target(AnswerOk);
  GatewayFixture gateway({target.address()}, kKeyed);
  OpenTargetConnection(gateway);
  RawSocket caller =
      ConnectWaitingCaller(gateway, "Snipehall-Deadline-Ms: 300\r\n");
  gateway.Run([&] {
    std::this_thread::sleep_for(milliseconds(400));
    SetDraining(gateway, false);
  });
  cr_assert(ReadResponse(caller).status == 503);
  RequireNotSent(gateway, target, "1");
}

}  // namespace
}  // namespace snipehall::test
