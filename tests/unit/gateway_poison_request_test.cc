#include <atomic>
#include <memory>
#include <string>

#include "unit/support/data_fixture.h"
#include "unit/support/gateway_fixture.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

// Targets that crash on each request for "/read/poison" or "/order/poison": the
// connection ends without a response, and no other is accepted. Those that have
// crashed stay away.
class CrashingTargets {
 public:
  explicit CrashingTargets(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      m_targets.push_back(std::make_unique<FakeTarget>(
          [this, i](RawSocket& connection, const std::string& head) {
            if (head.find("/poison") != std::string::npos) {
              m_targets[i]->StopListening();
              return false;
            }
            return connection.Send(GatewayFixture::OkResponse(
                HeaderOf(head, "Snipehall-Request-Id"), "body"));
          }));
    }
  }

  std::vector<std::string> addresses() const {
    std::vector<std::string> addresses;
    for (const auto& target : m_targets) {
      addresses.push_back(target->address());
    }
    return addresses;
  }

  std::size_t CountDeliveries(const std::string& path) const {
    std::size_t count = 0;
    for (const auto& target : m_targets) {
      for (const std::string& head : target->heads()) {
        count += head.find(path) != std::string::npos ? 1 : 0;
      }
    }
    return count;
  }

 private:
  std::vector<std::unique_ptr<FakeTarget>> m_targets;
};

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

// Guards against a request that crashes target after target.
Test(gateway_poison_request, request_is_sent_three_times_at_most) {
  CrashingTargets targets(12);
  GatewayFixture gateway(targets.addresses(), {.max_attempts = 1});
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(Send(gateway, "POST", "/order/poison", std::to_string(i)),
                 502);
  }
  for (int i = 3; i < 12; ++i) {
    cr_assert_eq(Send(gateway, "POST", "/order/poison", std::to_string(i)),
                 400);
  }
  cr_assert_eq(targets.CountDeliveries("/order/poison"), 3);
  cr_assert_eq(Send(gateway, "POST", "/order/other", "other"), 200);
}

// Guards against retries of the same attempt that crash further targets.
Test(gateway_poison_request, retries_of_an_attempt_count) {
  CrashingTargets targets(12);
  GatewayFixture gateway(targets.addresses(), {.max_attempts = 3});
  for (int i = 0; i < 6; ++i) {
    const int status = Send(gateway, "GET", "/read/poison", std::to_string(i));
    cr_assert_eq(status, i == 0 ? 502 : 400);
  }
  cr_assert_eq(targets.CountDeliveries("/read/poison"), 3);
}

// Load: a full target closes the connections of one request without a response
// while it serves others, as for a hot key.
Test(gateway_poison_request, request_of_a_full_target_is_not_refused) {
  std::atomic<bool> full = true;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    if (full && head.find("/order/hot") != std::string::npos) {
      return false;
    }
    return connection.Send(GatewayFixture::OkResponse(
        HeaderOf(head, "Snipehall-Request-Id"), "body"));
  });
  GatewayFixture gateway({target.address()}, {.max_attempts = 1});
  for (int i = 0; i < 12; ++i) {
    cr_assert_eq(Send(gateway, "POST", "/order/hot", std::to_string(i)), 502);
  }
  full = false;
  cr_assert_eq(Send(gateway, "POST", "/order/hot", "again"), 200);
  // The connections that were made to see whether the target has ended are not
  // kept.
  cr_assert_eq(gateway.Run([&] {
    return gateway.context().pools.Find(target.address())->in_use();
  }),
               0);
}

// Guards against a target that is given up because it answers nothing on some
// connections while it serves others.
Test(gateway_poison_request, mute_connection_is_given_up_not_the_target) {
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    // Nothing is answered on a connection after its first "/order/mute".
    if (head.find("/order/mute") != std::string::npos) {
      connection.ReadThrough("no such bytes");
      return false;
    }
    return connection.Send(GatewayFixture::OkResponse(
        HeaderOf(head, "Snipehall-Request-Id"), "body"));
  });
  GatewayFixture gateway({target.address()},
                         {.timeout = Milliseconds(300), .max_attempts = 1});
  for (int i = 0; i < 4; ++i) {
    const std::string id = std::to_string(i);
    cr_assert_eq(Send(gateway, "POST", "/order/mute", "mute-" + id), 504);
    cr_assert_eq(Send(gateway, "POST", "/order/other", "other-" + id), 200);
  }
  cr_assert(
      gateway.Run([&] { return gateway.context().poison_requests.empty(); }));
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
