#include <string>

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

}  // namespace
}  // namespace snipehall::test
