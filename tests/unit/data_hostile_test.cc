#include "unit/support/data_fixture.h"

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

// Returns a literal as a string; it may contain NUL bytes.
template <std::size_t size>
std::string LiteralToString(const char (&text)[size]) {
  return {text, size - 1};
}

bool RespondOk(RawSocket& connection, const std::string& head) {
  connection.ReadExactly(
      std::strtoul(HeaderOf(head, "Content-Length").c_str(), nullptr, 10));
  return connection.Send(kOkAnswer);
}

// A service "s" with one target, which records the requests that it receives.
struct HostileCallerFixture : DataFixture {
  HostileCallerFixture() { AddService("s", {target.address()}); }

  // Sends `text` and expects a 4xx response with `status`, a closed connection
  // and no request at the target.
  void ExpectRefused(const std::string& text, int status = 400) {
    RawSocket caller = Connect();
    caller.Send(text);
    const Response response = ReadResponse(caller);
    cr_expect_eq(response.status, status, "status %d for '%s'", response.status,
                 text.substr(0, 200).c_str());
    cr_expect(response.complete);
    const std::string verdict = response.Header("Snipehall-Verdict");
    cr_expect_eq(verdict, "not-run");
    cr_expect(caller.IsAtEnd(), "connection stays open after '%s'",
              text.substr(0, 200).c_str());
    cr_expect(target.heads().empty(), "forwarded '%s'",
              text.substr(0, 200).c_str());
  }

  FakeTarget target{RespondOk};
};

}  // namespace

// Guards against request smuggling: if the instance and a target delimit a
// request differently, a caller can insert a request into the connection of
// another one.
Test(data_hostile, ambiguous_framing_is_refused) {
  HostileCallerFixture fixture;
  fixture.Start();
  const std::string start = "POST /s HTTP/1.1\r\nHost: h\r\n";
  const std::string smuggled_request =
      "GET /s/admin HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const char* lines : {
           "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
           "Content-Length: 5\r\nContent-Length: 6\r\n",
           "Content-Length: 5\r\nContent-Length: 5\r\n",
           "Content-Length: 5, 5\r\n",
           "Content-Length: +5\r\n",
           "Content-Length: -5\r\n",
           "Content-Length: 0x5\r\n",
           "Content-Length: 5 5\r\n",
           "Content-Length:\r\n",
           "Content-Length: 99999999999999999999999\r\n",
           "Content-Length : 5\r\n",
           "Content-Length\t: 5\r\n",
           "Transfer-Encoding: gzip, chunked\r\n",
           "Transfer-Encoding: chunked, identity\r\n",
           "Transfer-Encoding: xchunked\r\n",
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding : chunked\r\n",
           "Transfer-Encoding:\x0b chunked\r\n",
           "X: a\nTransfer-Encoding: chunked\r\n",
           "X: a\rTransfer-Encoding: chunked\r\n",
           "X: a\r\n Transfer-Encoding: chunked\r\n",
           "X: a\r\n\tfolded\r\n",
           " X: a\r\n",
           "X\r\n",
           ": a\r\n",
           "X y: a\r\n",
       }) {
    fixture.ExpectRefused(std::string(start)
                              .append(lines)
                              .append("\r\n0\r\n\r\n")
                              .append(smuggled_request));
  }
}

// Guards against accepting request heads that violate the HTTP grammar.
Test(data_hostile, malformed_heads_are_refused) {
  HostileCallerFixture fixture;
  fixture.Start();
  for (const std::string& text : {
           std::string("GET /s HTTP/1.1\nHost: h\n\n"),
           std::string("GET /s HTTP/1.1\r\nHost: h\n\r\n"),
           std::string("GET /s HTTP/1.1\r\n\r\n"),
           std::string("GET /s HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"),
           std::string("GET /s HTTP/1.0\r\nHost: h\r\n\r\n"),
           std::string("GET /s HTTP/2.0\r\nHost: h\r\n\r\n"),
           std::string("GET /s\r\n\r\n"),
           std::string("GET  /s HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("GET /s HTTP/1.1 \r\nHost: h\r\n\r\n"),
           std::string("GET http://h/s HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("BREW /s HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("\r\nGET /s HTTP/1.1\r\nHost: h\r\n\r\n"),
           LiteralToString("GET /s HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n"),
           LiteralToString("GET /\0s HTTP/1.1\r\nHost: h\r\n\r\n"),
           LiteralToString("\x16\x03\x01\x02\0\x01\r\n\r\n"),
           FormatGet("/s", "Expect: the-unexpected\r\n"),
       }) {
    fixture.ExpectRefused(text);
  }
}

// Guards against request heads, or announced bodies, above the size limits.
Test(data_hostile, oversized_heads_are_refused) {
  HostileCallerFixture fixture;
  fixture.Start();
  fixture.ExpectRefused(
      FormatGet("/s", "X: " + std::string(20000, 'a') + "\r\n"), 431);
  fixture.ExpectRefused(FormatGet("/s" + std::string(20000, 'a')), 431);
  std::string many;
  for (int i = 0; i < 200; ++i) {
    many += "X" + std::to_string(i) + ": a\r\n";
  }
  fixture.ExpectRefused(FormatGet("/s", many), 431);
  fixture.ExpectRefused(
      "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000000\r\n\r\n", 413);
}

// Guards against invalid header values that reach admission control, metrics or
// a target.
Test(data_hostile, invalid_request_headers_are_refused) {
  HostileCallerFixture fixture;
  fixture.Start();
  for (const std::string& lines : {
           std::string("Snipehall-Deadline-Ms: 0\r\n"),
           std::string("Snipehall-Deadline-Ms: 600001\r\n"),
           std::string("Snipehall-Deadline-Ms: -5\r\n"),
           std::string("Snipehall-Deadline-Ms: 5s\r\n"),
           std::string("Snipehall-Deadline-Ms:\r\n"),
           std::string("Snipehall-Repeatable: YES\r\n"),
           std::string("Snipehall-Class: unknown\r\n"),
           std::string("Snipehall-Class: a b\r\n"),
           std::string("Snipehall-Tenant: a\"b\r\n"),
           std::string("Snipehall-Tenant: a\r\nSnipehall-Tenant: b\r\n"),
           std::string("snipehall-tenant: a\r\nSnipehall-Tenant: b\r\n"),
           "Snipehall-Tenant: " + std::string(65, 'a') + "\r\n",
           "Snipehall-Key: " + std::string(513, 'a') + "\r\n",
           "Snipehall-Request-Id: " + std::string(129, 'a') + "\r\n",
           std::string("Snipehall-Request-Id: a b\r\n"),
           std::string("Snipehall-Service:\r\n"),
       }) {
    fixture.ExpectRefused(FormatGet("/s", lines));
  }
  fixture.ExpectRefused(FormatGet("/"));
}

// Guards against forwarding a truncated body as if it were complete.
Test(data_hostile, truncated_body_is_refused) {
  HostileCallerFixture fixture;
  fixture.Start();
  RawSocket caller = fixture.Connect();
  caller.Send("POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
  caller.ShutdownSend();
  cr_assert_eq(ReadResponse(caller).status, 400);
  cr_assert(caller.IsAtEnd());
  cr_assert(fixture.target.heads().empty());
}

// Guards against a streamed body that ends early or violates the chunk grammar:
// the target must not get a message that looks complete.
Test(data_hostile, broken_streamed_body_never_completes_at_the_target) {
  std::atomic<int> completed = 0;
  FakeTarget target([&completed](RawSocket& connection, const std::string&) {
    if (connection.ReadThrough("0\r\n\r\n").ends_with("0\r\n\r\n")) {
      ++completed;
    }
    return false;
  });
  DataFixture fixture;
  fixture.AddService("s", {target.address()});
  fixture.Start();
  const std::string start =
      "POST /s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n";
  for (const char* rest :
       {"", "5\r\nab", "5\r\nabcdeXX0\r\n\r\n", "zz\r\n0\r\n\r\n",
        "-1\r\n0\r\n\r\n", "5\nabcde\n0\n\n", "ffffffffffffffffff\r\n\r\n"}) {
    RawSocket caller = fixture.Connect();
    caller.Send(start + rest);
    caller.ShutdownSend();
    const Response response = ReadResponse(caller);
    cr_expect_eq(response.status, 400, "status %d for '%s'", response.status,
                 rest);
    // Part of the request has reached the target, so it may have been executed.
    const std::string verdict = response.Header("Snipehall-Verdict");
    cr_expect_eq(verdict, "may-have-run");
    cr_expect(caller.IsAtEnd());
  }
  cr_assert_eq(completed, 0);
}

// Guards against callers that occupy a connection by sending slowly.
Test(data_hostile, slow_senders_are_closed) {
  HostileCallerFixture fixture;
  fixture.limits.head_timeout = Milliseconds(100);
  fixture.limits.body_idle_timeout = Milliseconds(100);
  fixture.limits.keep_alive_timeout = Milliseconds(100);
  fixture.Start();
  RawSocket idle = fixture.Connect();
  cr_assert(idle.IsAtEnd());
  fixture.ExpectRefused("GET /s HTTP/1.1\r\nHos", 408);
  fixture.ExpectRefused(
      "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", 408);
  RawSocket streaming = fixture.Connect();
  streaming.Send(
      "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n");
  cr_assert_eq(ReadResponse(streaming).status, 408);
  cr_assert(streaming.IsAtEnd());
}

// Guards against default timeouts that differ from the documented ones.
Test(data_hostile, default_timeouts) {
  const CallerLimits limits;
  cr_assert_eq(limits.head_timeout.count(), 10000);
  cr_assert_eq(limits.body_idle_timeout.count(), 30000);
}

// Guards against a refused request that affects the pipelined one before it.
Test(data_hostile, valid_request_before_a_malformed_one_is_answered) {
  HostileCallerFixture fixture;
  fixture.Start();
  RawSocket caller = fixture.Connect();
  caller.Send(FormatPost("/s", "abc") + "nonsense\r\n\r\n" + FormatGet("/s"));
  cr_assert_eq(ReadResponse(caller).status, 200);
  cr_assert_eq(ReadResponse(caller).status, 400);
  cr_assert(caller.IsAtEnd());
  cr_assert_eq(fixture.target.heads().size(), 1U);
}
