#include "unit/support/data_fixture.h"

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

// Responds with the body of the request.
bool Echo(RawSocket& connection, const std::string& head) {
  const std::string body = connection.ReadExactly(
      std::strtoul(HeaderOf(head, "Content-Length").c_str(), nullptr, 10));
  return connection.Send(
      "HTTP/1.1 200 OK\r\nX-Target: yes\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
}

}  // namespace

// Guards against requests that lose headers, body or request id when they are
// forwarded, and against forwarding hop-by-hop headers or headers that only the
// instance may set.
Test(data_forwarding, request_reaches_target_with_headers) {
  FakeTarget target(Echo);
  DataFixture fixture;
  DataFixture::MakeKeyed(fixture.AddService("shelf", {target.address()}), 0, 7);
  fixture.Start();
  const Response response = fixture.Call(
      FormatPost("/shelf/item?x=1", "hello",
                 "Snipehall-Key: k1\r\nSnipehall-Request-Id: r-1\r\n"
                 "Snipehall-Hash: 00\r\nSnipehall-Token: 99\r\n"
                 "Snipehall-Verdict: not-run\r\nX-Extra: a\r\n"
                 "Connection: keep-alive, X-Private\r\nX-Private: b\r\n"
                 "Keep-Alive: timeout=5\r\nTE: trailers\r\nUpgrade: h2c\r\n"));
  cr_assert_eq(response.status, 200);
  cr_assert(response.complete);
  cr_assert_eq(response.body, "hello");
  cr_assert_eq(response.Header("X-Target"), "yes");
  cr_assert(response.Header("Snipehall-Verdict").empty());
  const std::string head = target.heads().at(0);
  cr_assert(head.starts_with("POST /shelf/item?x=1 HTTP/1.1\r\n"));
  cr_assert_eq(HeaderOf(head, "Snipehall-Hash"), ToHex(HashKey("k1")));
  cr_assert_eq(HeaderOf(head, "Snipehall-Token"), "7");
  cr_assert_eq(HeaderOf(head, "Snipehall-Request-Id"), "r-1");
  cr_assert_gt(std::atoi(HeaderOf(head, "Snipehall-Deadline-Ms").c_str()), 0);
  cr_assert_eq(HeaderOf(head, "X-Extra"), "a");
  for (const char* dropped : {"X-Private", "Keep-Alive", "TE", "Upgrade",
                              "Snipehall-Verdict", "Connection"}) {
    cr_assert(HeaderOf(head, dropped).empty(), "%s was forwarded", dropped);
  }
  cr_assert_eq(head.find("Snipehall-Token: 99"), std::string::npos);
}

// Guards against a new connection to the target for each request.
Test(data_forwarding, connections_are_reused) {
  FakeTarget target(Echo);
  DataFixture fixture;
  fixture.AddService("shelf", {target.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  for (int i = 0; i < 20; ++i) {
    caller.Send(FormatPost("/shelf", "b" + std::to_string(i)));
    cr_assert_eq(ReadResponse(caller).body, "b" + std::to_string(i));
  }
  cr_assert_eq(target.connections(), 1);
}

// Guards against responses in the wrong order, or lost requests, when a caller
// pipelines requests.
Test(data_forwarding, pipelined_requests_are_answered_in_order) {
  FakeTarget target(Echo);
  DataFixture fixture;
  fixture.AddService("shelf", {target.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  std::string requests;
  for (int i = 0; i < 50; ++i) {
    requests += FormatPost("/shelf", "body" + std::to_string(i));
  }
  caller.Send(requests);
  for (int i = 0; i < 50; ++i) {
    cr_assert_eq(ReadResponse(caller).body, "body" + std::to_string(i));
  }
}

// Guards against an unknown service or a missing key that is reported like a
// failed target.
Test(data_forwarding, unknown_service_and_missing_key_are_refused) {
  FakeTarget target(Echo);
  DataFixture fixture;
  DataFixture::MakeKeyed(fixture.AddService("shelf", {target.address()}), 0, 7);
  fixture.Start();
  const Response unknown = fixture.Call(FormatGet("/nothing"));
  cr_assert_eq(unknown.status, 404);
  cr_assert_eq(unknown.Header("Snipehall-Verdict"), "not-run");
  cr_assert_eq(fixture.Call(FormatGet("/shelf")).status, 400);
  cr_assert(target.heads().empty());
}
