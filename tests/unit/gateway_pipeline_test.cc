#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include "transport/gateway/gateway_session.h"
#include "unit/support/data_fixture.h"
#include "unit/support/gateway_fixture.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

std::string IdOf(const std::string& head) {
  return HeaderOf(head, "Snipehall-Request-Id");
}

std::string Read(const std::string& id) {
  return GatewayFixture::Request("GET", "/read/item", id);
}

// Blocks the handlers of a target until the test releases them, and counts
// those that wait.
class Gate {
 public:
  // Waits for Open(). Returns false when it is not called within 10 s.
  bool Wait() {
    std::unique_lock lock(m_mutex);
    ++m_waiting;
    m_max_waiting = std::max(m_max_waiting, m_waiting);
    m_changed.notify_all();
    const bool opened = m_changed.wait_for(lock, std::chrono::seconds(10),
                                           [this] { return m_open; });
    --m_waiting;
    return opened;
  }
  void Open() {
    const std::lock_guard lock(m_mutex);
    m_open = true;
    m_changed.notify_all();
  }
  // Waits until `count` handlers wait at once.
  bool WaitForWaiters(int count, milliseconds limit) {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, [&] { return m_waiting >= count; });
  }
  int max_waiting() {
    const std::lock_guard lock(m_mutex);
    return m_max_waiting;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_open = false;
  int m_waiting = 0;
  int m_max_waiting = 0;
};

bool AnswerOk(RawSocket& connection, const std::string& head) {
  return connection.Send(
      GatewayFixture::OkResponse(IdOf(head), "body of " + IdOf(head)));
}

void RequireAnswer(RawSocket& caller, const std::string& id) {
  const Response response = ReadResponse(caller);
  cr_assert(response.status == 200 && response.complete, "%s got status %d",
            id.c_str(), response.status);
  cr_assert(response.body == "body of " + id, "%s got \"%s\"", id.c_str(),
            response.body.c_str());
}

Test(gateway_pipeline, reads_are_served_side_by_side_and_answered_in_order) {
  Gate first;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    if (IdOf(head) == "a") {
      first.Wait();
    } else if (IdOf(head) == "c") {
      first.Open();
    }
    return AnswerOk(connection, head);
  });
  GatewayFixture gateway({target.address()});
  RawSocket caller = gateway.Connect();
  cr_assert(caller.Send(Read("a") + Read("b") + Read("c")));
  for (const char* id : {"a", "b", "c"}) {
    RequireAnswer(caller, id);
  }
}

Test(gateway_pipeline, requests_in_progress_per_connection_are_bounded) {
  Gate gate;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    gate.Wait();
    return AnswerOk(connection, head);
  });
  GatewayFixture gateway({target.address()});
  RawSocket caller = gateway.Connect();
  std::string requests;
  for (int i = 0; i < 100; ++i) {
    requests += Read(std::to_string(i));
  }
  cr_assert(caller.Send(requests));
  cr_assert(gate.WaitForWaiters(GatewaySession::kMaxPipelinedRequests,
                                milliseconds(5000)));
  gate.Open();
  for (int i = 0; i < 100; ++i) {
    RequireAnswer(caller, std::to_string(i));
  }
  cr_assert(gate.max_waiting() <= GatewaySession::kMaxPipelinedRequests,
            "%d requests at once", gate.max_waiting());
}

// Requests behind a response that closes the connection count as unread, so a
// caller sends them again. A request that may run only once must not have been
// started by then.
Test(gateway_pipeline, request_that_is_not_idempotent_waits_for_its_turn) {
  Gate gate;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    if (IdOf(head) == "a") {
      gate.Wait();
    }
    connection.ReadExactly(head.starts_with("POST") ? 2 : 0);
    return AnswerOk(connection, head);
  });
  GatewayFixture gateway({target.address()});
  RawSocket caller = gateway.Connect();
  cr_assert(caller.Send(Read("a") +
                        GatewayFixture::Request("POST", "/order/new", "b",
                                                "Content-Length: 2\r\n") +
                        "ok" + Read("c")));
  cr_assert(gate.WaitForWaiters(1, milliseconds(5000)));
  std::this_thread::sleep_for(milliseconds(200));
  cr_assert(target.heads().size() == 1, "a later request was started");
  gate.Open();
  for (const char* id : {"a", "b", "c"}) {
    RequireAnswer(caller, id);
  }
}

Test(gateway_pipeline, nothing_is_run_behind_a_request_that_closes) {
  FakeTarget target(AnswerOk);
  GatewayFixture gateway({target.address()});
  RawSocket caller = gateway.Connect();
  cr_assert(caller.Send(GatewayFixture::Request("GET", "/read/item", "a",
                                                "Connection: close\r\n") +
                        Read("b")));
  RequireAnswer(caller, "a");
  cr_assert(caller.IsAtEnd(), "the connection stays open");
  cr_assert(target.heads().size() == 1, "the request behind it was run");
}

// A caller that leaves while its first request waits must be noticed although
// the requests behind it have been received: none of them may reach a target
// later, and the request in progress is abandoned.
Test(gateway_pipeline, caller_that_leaves_ends_all_of_its_requests) {
  Gate gate;
  std::mutex mutex;
  Clock::time_point last_arrival;
  Clock::time_point first_closed_at;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    {
      const std::lock_guard lock(mutex);
      last_arrival = Clock::now();
    }
    if (IdOf(head) == "a") {
      gate.Open();
    }
    // Waits until the gateway abandons the request.
    const bool closed = connection.IsAtEnd();
    const std::lock_guard lock(mutex);
    if (closed && first_closed_at == Clock::time_point()) {
      first_closed_at = Clock::now();
    }
    return false;
  });
  GatewayFixture::Options options;
  options.timeout = milliseconds(2000);
  GatewayFixture gateway({target.address()}, options);
  RawSocket caller = gateway.Connect();
  cr_assert(caller.Send(Read("a")));
  cr_assert(gate.Wait());
  std::string requests;
  for (int i = 0; i < 40; ++i) {
    requests += Read(std::to_string(i));
  }
  cr_assert(caller.Send(requests));
  std::this_thread::sleep_for(milliseconds(50));
  const Clock::time_point left = Clock::now();
  caller.Close();
  cr_assert(Eventually([&] {
    return gateway.Run([&] { return gateway.server().active_requests(); }) == 0;
  }));
  std::this_thread::sleep_for(milliseconds(100));
  const std::lock_guard lock(mutex);
  cr_assert(first_closed_at - left < milliseconds(500),
            "the request in progress was not abandoned");
  cr_assert(last_arrival - left < milliseconds(500),
            "a request was sent %lld ms after its caller had left",
            static_cast<long long>(
                std::chrono::duration_cast<milliseconds>(last_arrival - left)
                    .count()));
}

// A planned stop answers every request that was sent to a target, and closes
// with the last of them.
Test(gateway_pipeline, shutdown_answers_all_requests_in_progress) {
  Gate gate;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    gate.Wait();
    return AnswerOk(connection, head);
  });
  GatewayFixture gateway({target.address()});
  RawSocket caller = gateway.Connect();
  cr_assert(caller.Send(Read("a") + Read("b") + Read("c")));
  cr_assert(gate.WaitForWaiters(3, milliseconds(5000)));
  gateway.Run([&] { gateway.server().BeginDrain(); });
  gate.Open();
  for (const char* id : {"a", "b", "c"}) {
    RequireAnswer(caller, id);
  }
  cr_assert(caller.IsAtEnd(), "the connection stays open");
}

// Unread input at the close of a socket makes the kernel reset the connection,
// which can discard a response that the caller has not read yet.
Test(gateway_pipeline, last_response_survives_unread_requests_behind_it) {
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    return connection.Send(
        GatewayFixture::OkResponse(IdOf(head), std::string(200000, 'x')));
  });
  GatewayFixture gateway({target.address()});
  for (int i = 0; i < 20; ++i) {
    RawSocket caller = gateway.Connect();
    cr_assert(caller.Send(GatewayFixture::Request("GET", "/read/item", "a",
                                                  "Connection: close\r\n") +
                          Read("b") + std::string(20000, 'y')));
    std::this_thread::sleep_for(milliseconds(20));
    const Response response = ReadResponse(caller);
    cr_assert(response.complete, "the response was cut off after %zu bytes",
              response.body.size());
  }
}

}  // namespace
}  // namespace snipehall::test
