#include <algorithm>
#include <chrono>
#include <deque>
#include <future>
#include <string>
#include <thread>

#include "unit/support/data_fixture.h"
#include "unit/support/gateway_fixture.h"

#include <criterion/criterion.h>

// Bounds of the memory and the connections that callers use together.

namespace snipehall::test {
namespace {

constexpr std::size_t kBufferBytes = std::size_t{1} << 20;
constexpr std::size_t kMaxConnections = 4;

std::string Post(const std::string& id, std::size_t size) {
  return GatewayFixture::Request(
      "POST", "/order/new", id,
      "Content-Length: " + std::to_string(size) + "\r\n");
}

// Responds with 200 once it has read the body.
bool AnswerOk(RawSocket& connection, const std::string& head) {
  connection.ReadExactly(
      std::strtoul(HeaderOf(head, "Content-Length").c_str(), nullptr, 10));
  return connection.Send(
      GatewayFixture::OkResponse(HeaderOf(head, "Snipehall-Request-Id"), "ok"));
}

bool HasReached(FakeTarget& target, const std::string& id) {
  const auto heads = target.heads();
  return std::any_of(heads.begin(), heads.end(),
                     [&id](const std::string& head) {
                       return HeaderOf(head, "Snipehall-Request-Id") == id;
                     });
}

// Waits until the gateway holds at least `size` bytes of requests.
bool WaitForMemory(GatewayFixture& gateway, std::size_t size) {
  return Eventually([&] {
    return gateway.Run(
        [&] { return gateway.context().request_buffers.used() >= size; });
  });
}

bool WaitUntilFree(GatewayFixture& gateway) {
  return Eventually([&] {
    return gateway.Run(
        [&] { return gateway.context().request_buffers.used() == 0; });
  });
}

bool WaitForSessions(GatewayFixture& gateway, std::size_t count) {
  return Eventually([&] {
    return gateway.Run(
        [&] { return gateway.context().sessions.size() == count; });
  });
}

Test(gateway_caller_limits, request_without_memory_is_refused_and_not_sent) {
  FakeTarget target(AnswerOk);
  GatewayFixture gateway(
      {target.address()},
      {.timeout = Milliseconds(30000), .request_buffer_bytes = kBufferBytes});
  // It is served in calm.
  const std::string body(kBufferBytes * 3 / 4, 'a');
  RawSocket first = gateway.Connect();
  cr_assert(first.Send(Post("first", body.size()) + body));
  cr_assert(ReadResponse(first).status == 200);
  cr_assert(WaitUntilFree(gateway));

  RawSocket holder = gateway.Connect();
  cr_assert(holder.Send(Post("holder", body.size()) +
                        body.substr(0, body.size() - 1)));
  cr_assert(WaitForMemory(gateway, body.size() - 1));
  RawSocket refused = gateway.Connect();
  refused.Send(Post("refused", body.size()) + body);
  const Response refusal = ReadResponse(refused);
  cr_assert(refusal.status == 503, "status %d", refusal.status);
  cr_assert(!refusal.Header("Retry-After").empty());
  cr_assert(refused.IsAtEnd());

  RawSocket small = gateway.Connect();
  for (const char* id : {"small", "next"}) {
    cr_assert(small.Send(Post(id, 2) + "ok"));
    cr_assert(ReadResponse(small).status == 200);
  }
  cr_assert(holder.Send("a"));
  cr_assert(ReadResponse(holder).status == 200);
  cr_assert(!HasReached(target, "refused"));
  cr_assert(HasReached(target, "holder") && HasReached(target, "next"));
  cr_assert(WaitUntilFree(gateway));
}

// Many short fields need several times their size when parsed, in a head and in
// a trailer.
Test(gateway_caller_limits, fields_count) {
  constexpr std::size_t kFields = 1000;
  std::string fields;
  for (std::size_t i = 0; i < kFields; ++i) {
    fields += "a:b\r\n";
  }
  for (const std::string& request :
       {GatewayFixture::Request("GET", "/read/item", "a", fields),
        GatewayFixture::Request("POST", "/order/new", "a",
                                "Transfer-Encoding: chunked\r\n") +
            "2\r\nok\r\n0\r\n" + fields + "\r\n"}) {
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    FakeTarget target([&](RawSocket& connection, const std::string& head) {
      released.wait();
      return AnswerOk(connection, head);
    });
    GatewayFixture gateway({target.address()});
    RawSocket caller = gateway.Connect();
    cr_assert(caller.Send(request));
    const bool counted = WaitForMemory(gateway, kFields * 64);
    release.set_value();
    cr_assert(counted, "not counted: %.20s", request.c_str());
    cr_assert(ReadResponse(caller).status == 200);
  }
}

// A body whose end does not arrive by the request's deadline, although pieces
// of it keep arriving.
Test(gateway_caller_limits, body_must_arrive_by_the_deadline) {
  FakeTarget target(AnswerOk);
  GatewayFixture gateway({target.address()}, {.timeout = Milliseconds(200)});
  RawSocket caller = gateway.Connect();
  cr_assert(caller.Send(Post("late", kBufferBytes)));
  for (bool has_response = false; !has_response;) {
    cr_assert(caller.Send("a"));
    has_response = caller.Fill(10);
  }
  cr_assert(ReadResponse(caller).status == 408);
  cr_assert(!HasReached(target, "late"));
  cr_assert(WaitUntilFree(gateway));
}

// Lines that arrive one after the other are checked like a whole head.
Test(gateway_caller_limits, head_in_pieces_is_checked) {
  FakeTarget target(AnswerOk);
  GatewayFixture gateway({target.address()});
  struct Case {
    const char* fields;
    int status;
  };
  for (const Case& test_case :
       {Case{"a: b\r\nc: d\r\n", 200}, Case{"a: b\r\n c\r\n", 400},
        Case{"a: b\r\nc\rd: e\r\n", 400}, Case{"a: b\r\nc: d\n", 400},
        Case{"a: b\r\nc\r\n", 400}}) {
    RawSocket caller = gateway.Connect();
    for (const char byte :
         GatewayFixture::Request("GET", "/read/item", "a", test_case.fields)) {
      caller.Send(std::string(1, byte));
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    const int status = ReadResponse(caller).status;
    cr_assert(status == test_case.status, "status %d for %s", status,
              test_case.fields);
  }
}

Test(gateway_caller_limits, connection_that_waits_is_evicted) {
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    if (HeaderOf(head, "Snipehall-Request-Id") == "oldest") {
      released.wait();
    }
    return AnswerOk(connection, head);
  });
  GatewayFixture gateway({target.address()},
                         {.timeout = Milliseconds(30000),
                          .max_caller_connections = kMaxConnections,
                          .limits = {.head_timeout = Milliseconds(30000),
                                     .idle_timeout = Milliseconds(30000)}});
  // The oldest has a request at the target, or is another instance; the next
  // one is idle, and two wait in a head and in a body.
  RawSocket busy = gateway.Connect();
  cr_assert(busy.Send(Post("oldest", 2) + "ok"));
  cr_assert(Eventually([&] { return HasReached(target, "oldest"); }));
  RawSocket instance = gateway.ConnectAsInstance();
  RawSocket idle = gateway.Connect();
  cr_assert(WaitForSessions(gateway, 3));
  RawSocket in_head = gateway.Connect();
  cr_assert(in_head.Send("POST "));
  cr_assert(WaitForSessions(gateway, 4));
  RawSocket in_body = gateway.Connect();
  cr_assert(in_body.Send(Post("in-body", 2) + "o"));
  cr_assert(WaitForMemory(gateway, 1) && WaitForSessions(gateway, 5));

  std::deque<RawSocket> kept;
  for (RawSocket* evicted : {&idle, &in_head, &in_body}) {
    RawSocket caller = gateway.Connect();
    cr_assert(caller.Send(Post("new", 2) + "ok"));
    cr_assert(ReadResponse(caller).status == 200);
    cr_assert(evicted->IsAtEnd());
    evicted->Close();
    // The place is taken again by a connection that is newer than the others.
    cr_assert(WaitForSessions(gateway, kMaxConnections + 1));
    kept.push_back(std::move(caller));
  }
  cr_assert(!HasReached(target, "in-body"));
  cr_assert(instance.Send(Post("forwarded", 2) + "ok"));
  cr_assert(ReadResponse(instance).status == 200);
  release.set_value();
  cr_assert(ReadResponse(busy).status == 200);
}

}  // namespace
}  // namespace snipehall::test
