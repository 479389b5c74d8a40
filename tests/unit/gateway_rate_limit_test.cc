#include <functional>
#include <string>
#include <vector>

#include "unit/support/data_fixture.h"
#include "unit/support/gateway_fixture.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

std::string IdOf(const std::string& head) {
  return HeaderOf(head, "Snipehall-Request-Id");
}

// A target's response to the request with the ID `id` that names a rate limit.
std::string LimitedResponse(const std::string& id, const std::string& limit) {
  return "HTTP/1.1 200 OK\r\nSnipehall-Request-Id: " + id +
         "\r\nSnipehall-Signature: s\r\nSnipehall-Rate-Limit: " + limit +
         "\r\nContent-Length: 0\r\n\r\n";
}

std::string Read(int number) {
  return GatewayFixture::Request("GET", "/read/item", std::to_string(number));
}

// Load: 50 requests at once to a target that takes two a second.
Test(gateway_rate_limit, requests_beyond_the_limit_go_to_another_target) {
  FakeTarget limited([](RawSocket& connection, const std::string& head) {
    return connection.Send(LimitedResponse(IdOf(head), "2.0"));
  });
  FakeTarget other([](RawSocket& connection, const std::string& head) {
    return connection.Send(GatewayFixture::OkResponse(IdOf(head), ""));
  });
  GatewayFixture gateway({limited.address(), other.address()});
  RawSocket caller = gateway.Connect();
  for (int i = 0; i < 50; ++i) {
    cr_assert(caller.Send(Read(i)));
    cr_assert(ReadResponse(caller).status == 200, "request %d", i);
  }
  cr_assert(limited.heads().size() <= 1.5 * 2 * 4 + 5,
            "%zu requests were sent to the limited target",
            limited.heads().size());
}

Test(gateway_rate_limit, requests_beyond_the_limit_are_refused_at_once) {
  FakeTarget limited([](RawSocket& connection, const std::string& head) {
    return connection.Send(LimitedResponse(IdOf(head), "2.0"));
  });
  GatewayFixture gateway({limited.address()});
  RawSocket caller = gateway.Connect();
  int refused = 0;
  for (int i = 0; i < 50; ++i) {
    cr_assert(caller.Send(Read(i)));
    const Response response = ReadResponse(caller);
    cr_assert(response.status == 200 || response.status == 503);
    if (response.status == 503) {
      ++refused;
      cr_assert(!response.Header("Retry-After").empty());
    }
  }
  cr_assert(limited.heads().size() + refused == 50,
            "a refused request was sent to the target");
  cr_assert(limited.heads().size() <= 1.5 * 2 * 4 + 5, "%zu requests were sent",
            limited.heads().size());
}

Test(gateway_rate_limit, limit_ends_when_the_target_no_longer_names_it) {
  FakeTarget target([](RawSocket& connection, const std::string& head) {
    return connection.Send(IdOf(head) == "0"
                               ? LimitedResponse("0", "4.0")
                               : GatewayFixture::OkResponse(IdOf(head), ""));
  });
  GatewayFixture gateway({target.address()});
  RawSocket caller = gateway.Connect();
  for (int i = 0; i < 50; ++i) {
    cr_assert(caller.Send(Read(i)));
    cr_assert(ReadResponse(caller).status == 200, "request %d", i);
  }
}

Test(gateway_rate_limit, malformed_limits_are_ignored) {
  for (const char* limit : {"", "many", "-1", "nan", "inf", "1e999", "2,0"}) {
    FakeTarget target([&](RawSocket& connection, const std::string& head) {
      return connection.Send(LimitedResponse(IdOf(head), limit));
    });
    GatewayFixture gateway({target.address()});
    RawSocket caller = gateway.Connect();
    for (int i = 0; i < 20; ++i) {
      cr_assert(caller.Send(Read(i)));
      cr_assert(ReadResponse(caller).status == 200, "limit \"%s\"", limit);
    }
  }
}

// Sends 20 requests while the leader answers each request for a permit as
// `answer` says, and counts these requests in `asked`.
int CountServed(GatewayFixture& gateway,
                int& asked,
                const std::function<void(PermitRequests::OnResponse)>& answer) {
  gateway.Run([&] {
    gateway.context().request_permit =
        [&](std::string_view, double, PermitRequests::OnResponse on_response) {
          ++asked;
          answer(std::move(on_response));
        };
    return true;
  });
  RawSocket caller = gateway.Connect();
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    cr_assert(caller.Send(GatewayFixture::Request(
        "GET", "/read/item", std::to_string(i), "Snipehall-Key: 1\r\n")));
    const Response response = ReadResponse(caller);
    served += response.status == 200 ? 1 : 0;
    cr_assert(response.status == 200 || !response.Header("Retry-After").empty(),
              "request %d: status %u", i,
              static_cast<unsigned>(response.status));
  }
  return served;
}

// Guards against requests that reach a cold target without a permit, and
// against instances that ask the leader about each target for each request.
Test(gateway_rate_limit, cold_targets_get_nothing_without_a_permit) {
  FakeTarget target([](RawSocket& connection, const std::string& head) {
    return connection.Send(GatewayFixture::OkResponse(IdOf(head), ""));
  });
  const std::vector<std::string> addresses(5, target.address());
  const auto refuse = [](const PermitRequests::OnResponse& on_response) {
    on_response({0, false, Milliseconds(60000)});
  };
  // With and without a response of the leader.
  for (const bool answers : {true, false}) {
    for (const bool keyed : {true, false}) {
      GatewayFixture gateway(addresses, {.keyed = keyed, .cold_targets = 5});
      int asked = 0;
      const int served = CountServed(
          gateway, asked, [&](const PermitRequests::OnResponse& on_response) {
            if (answers) {
              refuse(on_response);
            }
          });
      cr_assert(served == 0 && target.heads().empty());
      cr_assert(asked > 0 && asked <= (keyed ? 1 : 5), "asked %d times", asked);
    }
  }
  GatewayFixture gateway(addresses, {.cold_targets = 4});
  int asked = 0;
  cr_assert_eq(CountServed(gateway, asked, refuse), 20);
  cr_assert_eq(asked, 0, "a cold target was preferred to a warm one");
}

}  // namespace
}  // namespace snipehall::test
