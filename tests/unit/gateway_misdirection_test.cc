#include <string>

#include "unit/support/data_fixture.h"
#include "unit/support/gateway_fixture.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

constexpr GatewayFixture::Options kKeyed = {.keyed = true};

// A target at whose address another one answers, as after a crash.
bool AnswerMisdirected(RawSocket& connection, const std::string& head) {
  return connection.Send(
      "HTTP/1.1 421 Misdirected Request\r\nSnipehall-Request-Id: " +
      HeaderOf(head, "Snipehall-Request-Id") + "\r\nContent-Length: 0\r\n\r\n");
}

std::string Read(const std::string& id) {
  return GatewayFixture::Request("GET", "/read/item", id,
                                 "Snipehall-Key: 1\r\n");
}

void RequireOneAttempt(const GatewayFixture::Options& options) {
  FakeTarget target(AnswerMisdirected);
  GatewayFixture gateway({target.address()}, options);
  RawSocket caller = gateway.Connect();
  cr_assert(caller.Send(Read("a")));
  cr_assert(ReadResponse(caller).status == 503);
  cr_assert(target.heads().size() == 1, "the request was sent %zu times",
            target.heads().size());
}

Test(gateway_misdirection, request_is_not_sent_again_to_the_wrong_owner) {
  RequireOneAttempt(kKeyed);
}

Test(gateway_misdirection, request_is_not_sent_again_to_the_wrong_target) {
  RequireOneAttempt({});
}

Test(gateway_misdirection, request_is_sent_again_once_the_key_has_a_new_token) {
  GatewayFixture* gateway = nullptr;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    if (gateway->Run([&] {
          KeyTable table = gateway->context().state.keys();
          const bool first = table.services["work"].front().fencing_token == 0;
          table.services["work"].front().fencing_token = 1;
          gateway->context().state.SetKeys(std::move(table));
          return first;
        })) {
      return AnswerMisdirected(connection, head);
    }
    return connection.Send(GatewayFixture::OkResponse("a", "body"));
  });
  GatewayFixture fixture({target.address()}, kKeyed);
  gateway = &fixture;
  RawSocket caller = fixture.Connect();
  cr_assert(caller.Send(Read("a")));
  cr_assert(ReadResponse(caller).status == 200);
}

}  // namespace
}  // namespace snipehall::test
