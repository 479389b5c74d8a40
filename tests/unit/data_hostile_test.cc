#include "unit/support/data_fixture.h"

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

// Text that may contain NUL bytes.
template <std::size_t size>
std::string Bytes(const char (&text)[size]) {
  return {text, size - 1};
}

bool AnswerOk(RawSocket& connection, const std::string& head) {
  connection.ReadExactly(
      std::strtoul(HeaderOf(head, "Content-Length").c_str(), nullptr, 10));
  return connection.Send(kOkAnswer);
}

// A service "s" whose only target counts what reaches it.
struct HostileFixture : DataFixture {
  HostileFixture() { AddService("s", {target.address()}); }

  // Sends `text` and expects a 4xx answer, a close, and nothing at the target.
  void ExpectRefused(const std::string& text, int status = 400) {
    RawSocket caller = Connect();
    caller.Send(text);
    const Answer answer = ReadAnswer(caller);
    cr_expect_eq(answer.status, status, "status %d for '%s'", answer.status,
                 text.substr(0, 200).c_str());
    cr_expect(answer.whole);
    const std::string verdict = answer.Header("Snipehall-Verdict");
    cr_expect_eq(verdict, "not-run");
    cr_expect(caller.IsAtEnd(), "connection stays open after '%s'",
              text.substr(0, 200).c_str());
    cr_expect(target.heads().empty(), "forwarded '%s'",
              text.substr(0, 200).c_str());
  }

  FakeTarget target{AnswerOk};
};

}  // namespace

// Guards against requests that the instance and a target delimit differently,
// which lets one caller put a request into another one's connection.
Test(data_hostile, ambiguous_framing_is_refused) {
  HostileFixture fixture;
  fixture.Start();
  const std::string start = "POST /s HTTP/1.1\r\nHost: h\r\n";
  const std::string smuggled = "GET /s/admin HTTP/1.1\r\nHost: h\r\n\r\n";
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
                              .append(smuggled));
  }
}

// Guards against heads that break the grammar of HTTP.
Test(data_hostile, malformed_heads_are_refused) {
  HostileFixture fixture;
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
           Bytes("GET /s HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n"),
           Bytes("GET /\0s HTTP/1.1\r\nHost: h\r\n\r\n"),
           Bytes("\x16\x03\x01\x02\0\x01\r\n\r\n"),
           Get("/s", "Expect: the-unexpected\r\n"),
       }) {
    fixture.ExpectRefused(text);
  }
}

// Guards against heads that take more memory than a request may.
Test(data_hostile, oversized_heads_are_refused) {
  HostileFixture fixture;
  fixture.Start();
  fixture.ExpectRefused(Get("/s", "X: " + std::string(20000, 'a') + "\r\n"),
                        431);
  fixture.ExpectRefused(Get("/s" + std::string(20000, 'a')), 431);
  std::string many;
  for (int i = 0; i < 200; ++i) {
    many += "X" + std::to_string(i) + ": a\r\n";
  }
  fixture.ExpectRefused(Get("/s", many), 431);
  fixture.ExpectRefused(
      "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000000\r\n\r\n", 413);
}

// Guards against values out of bounds that reach admission, metrics or a
// target.
Test(data_hostile, invalid_request_headers_are_refused) {
  HostileFixture fixture;
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
    fixture.ExpectRefused(Get("/s", lines));
  }
  fixture.ExpectRefused(Get("/"));
}

// Guards against a body that ends early and is run as if it were whole.
Test(data_hostile, body_cut_short_is_refused) {
  HostileFixture fixture;
  fixture.Start();
  RawSocket caller = fixture.Connect();
  caller.Send("POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
  caller.ShutdownSend();
  cr_assert_eq(ReadAnswer(caller).status, 400);
  cr_assert(caller.IsAtEnd());
  cr_assert(fixture.target.heads().empty());
}

// Guards against a streamed body that ends early or breaks the chunk grammar:
// the target must not get a message that looks whole.
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
    const Answer answer = ReadAnswer(caller);
    cr_expect_eq(answer.status, 400, "status %d for '%s'", answer.status, rest);
    // Bytes have reached the target, so nothing proves that it did not act.
    const std::string verdict = answer.Header("Snipehall-Verdict");
    cr_expect_eq(verdict, "may-have-run");
    cr_expect(caller.IsAtEnd());
  }
  cr_assert_eq(completed, 0);
}

// Guards against callers that hold a connection by sending slowly.
Test(data_hostile, slow_senders_are_closed) {
  HostileFixture fixture;
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
  cr_assert_eq(ReadAnswer(streaming).status, 408);
  cr_assert(streaming.IsAtEnd());
}

// Guards against limits that differ from the documented ones.
Test(data_hostile, default_time_limits) {
  const CallerLimits limits;
  cr_assert_eq(limits.head_timeout.count(), 10000);
  cr_assert_eq(limits.body_idle_timeout.count(), 30000);
}

// Guards against refusals that spoil the requests before them.
Test(data_hostile, valid_request_before_a_malformed_one_is_answered) {
  HostileFixture fixture;
  fixture.Start();
  RawSocket caller = fixture.Connect();
  caller.Send(Post("/s", "abc") + "nonsense\r\n\r\n" + Get("/s"));
  cr_assert_eq(ReadAnswer(caller).status, 200);
  cr_assert_eq(ReadAnswer(caller).status, 400);
  cr_assert(caller.IsAtEnd());
  cr_assert_eq(fixture.target.heads().size(), 1U);
}
