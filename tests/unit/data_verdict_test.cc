#include "unit/support/data_fixture.h"

#include <future>

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

bool RespondOk(RawSocket& connection, const std::string& /*head*/) {
  return connection.Send(kOkAnswer);
}

bool RespondNotRun(RawSocket& connection, const std::string& /*head*/) {
  return connection.Send(kNotRunAnswer);
}

// Closes the connection after the head of a request.
bool CloseAfterRequest(RawSocket& /*connection*/, const std::string& /*head*/) {
  return false;
}

// Returns an address that refuses connections.
std::string UnreachableAddress() {
  FakeTarget target(RespondOk);
  return target.address();
}

void AssertStatusAndVerdict(const Response& response,
                            int status,
                            const std::string& verdict) {
  cr_assert_eq(response.status, status, "status %d", response.status);
  const std::string found = response.Header("Snipehall-Verdict");
  cr_assert_eq(found, verdict);
}

// Returns the number of requests at the target, control messages excluded.
std::size_t CountRequests(FakeTarget& target) {
  const auto heads = target.heads();
  return static_cast<std::size_t>(
      std::count_if(heads.begin(), heads.end(), [](const std::string& head) {
        return head.find(" /control/") == std::string::npos;
      }));
}

}  // namespace

// Guards against a failed connect that is reported as a possible execution.
Test(data_verdict, connect_failure_is_not_run) {
  DataFixture fixture;
  fixture.AddService("pay", {UnreachableAddress()});
  fixture.Start();
  AssertStatusAndVerdict(fixture.Call(FormatPost("/pay", "x")), 503, "not-run");
}

// Guards against requests that fail because one target is down while another
// one is available.
Test(data_verdict, connect_failure_is_retried_at_another_target) {
  FakeTarget target(RespondOk);
  DataFixture fixture;
  fixture.AddService("pay", {UnreachableAddress(), target.address()});
  fixture.Start();
  for (int i = 0; i < 5; ++i) {
    cr_assert_eq(fixture.Call(FormatPost("/pay", "x")).status, 200);
  }
}

// Guards against a payment that is executed twice: the target may have executed
// it before it closed the connection.
Test(data_verdict, lost_response_may_have_run_and_is_not_retried) {
  FakeTarget first(CloseAfterRequest);
  FakeTarget second(CloseAfterRequest);
  DataFixture fixture;
  fixture.AddService("pay", {first.address(), second.address()});
  fixture.Start();
  AssertStatusAndVerdict(fixture.Call(FormatPost("/pay", "x")), 502,
                         "may-have-run");
  cr_assert_eq(CountRequests(first) + CountRequests(second), 1U);
}

// Guards against idempotent requests that fail after the first lost response,
// and against a verdict that ignores earlier attempts.
Test(data_verdict, repeatable_request_is_retried_within_its_attempts) {
  FakeTarget first(CloseAfterRequest);
  FakeTarget second(RespondOk);
  DataFixture fixture;
  fixture.AddService("pay", {first.address(), second.address()});
  fixture.AddService("lost", {first.address()});
  fixture.Start();
  for (int i = 0; i < 5; ++i) {
    cr_assert_eq(fixture.Call(FormatGet("/pay")).status, 200);
  }
  cr_assert_eq(
      fixture.Call(FormatPost("/pay", "x", "Snipehall-Repeatable: yes\r\n"))
          .status,
      200);
  AssertStatusAndVerdict(fixture.Call(FormatGet("/lost")), 502, "may-have-run");
  AssertStatusAndVerdict(
      fixture.Call(FormatGet("/pay", "Snipehall-Repeatable: maybe\r\n")), 400,
      "not-run");
}

// Guards against executing a request twice when the target closes a keep-alive
// connection while the request is in flight.
Test(data_verdict, stale_connection_is_may_have_run) {
  std::atomic<int> count = 0;
  FakeTarget target([&count](RawSocket& connection, const std::string&) {
    return ++count == 1 && connection.Send(kOkAnswer);
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  caller.Send(FormatPost("/pay", "1"));
  cr_assert_eq(ReadResponse(caller).status, 200);
  caller.Send(FormatPost("/pay", "2"));
  AssertStatusAndVerdict(ReadResponse(caller), 502, "may-have-run");
  cr_assert_eq(count, 2);
}

// Guards against failing a request that one target refused although another one
// would accept it. The refusal proves that it was not executed.
Test(data_verdict, refusal_is_retried_at_another_target) {
  FakeTarget first(RespondNotRun);
  FakeTarget second(RespondOk);
  DataFixture fixture;
  fixture.AddService("pay", {first.address(), second.address()});
  fixture.AddService("full", {first.address()});
  fixture.Start();
  for (int i = 0; i < 5; ++i) {
    cr_assert_eq(fixture.Call(FormatPost("/pay", "x")).status, 200);
  }
  const Response refused = fixture.Call(FormatPost("/full", "x"));
  AssertStatusAndVerdict(refused, 503, "not-run");
  cr_assert(!refused.Header("Retry-After").empty());
}

// Guards against retries that multiply the load on a failing service.
Test(data_verdict, retry_budget_limits_retries) {
  FakeTarget first(RespondNotRun);
  FakeTarget second(RespondNotRun);
  DataFixture fixture;
  fixture.AddService("pay", {first.address(), second.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    caller.Send(FormatPost("/pay", "x"));
    AssertStatusAndVerdict(ReadResponse(caller), 503, "not-run");
  }
  // The budget starts with 20 retries and gains one for every ten requests.
  cr_assert_leq(CountRequests(first) + CountRequests(second),
                kRequests + 20U + 20U);
}

// Guards against a request that fails, or is retried at the previous owner,
// while its key moves.
Test(data_verdict, refused_keyed_request_waits_for_newer_table) {
  FakeTarget previous_owner(RespondNotRun);
  FakeTarget owner(RespondOk);
  DataFixture fixture;
  ServiceRoutes& routes =
      fixture.AddService("shelf", {previous_owner.address(), owner.address()});
  DataFixture::MakeKeyed(routes, 0, 5);
  fixture.Start();
  auto response = std::async(std::launch::async, [&fixture] {
    return fixture.Call(FormatPost("/shelf", "x", "Snipehall-Key: k\r\n"));
  });
  cr_assert(Eventually(
      [&previous_owner] { return CountRequests(previous_owner) > 0; }));
  DataFixture::MakeKeyed(routes, 1, 9);
  fixture.table.offset = 9;
  fixture.Publish();
  cr_assert_eq(response.get().status, 200);
  cr_assert_eq(HeaderOf(owner.heads().at(0), "Snipehall-Token"), "9");
}

// Guards against waiting for a newer table when the owner only has to get its
// lease again, which changes no table.
Test(data_verdict, refused_keyed_request_is_retried_at_the_same_owner) {
  std::atomic<int> count = 0;
  FakeTarget owner([&count](RawSocket& connection, const std::string&) {
    return connection.Send(++count < 3 ? kNotRunAnswer : kOkAnswer);
  });
  DataFixture fixture;
  DataFixture::MakeKeyed(fixture.AddService("shelf", {owner.address()}), 0, 5);
  fixture.Start();
  cr_assert_eq(fixture.Call(FormatGet("/shelf", "Snipehall-Key: k\r\n")).status,
               200);
  cr_assert_eq(count, 3);
}

// Guards against requests for a key without an owner that are sent to some
// target, or not answered by their deadline.
Test(data_verdict, key_without_owner_is_not_run) {
  FakeTarget target(RespondOk);
  DataFixture fixture;
  DataFixture::MakeKeyed(fixture.AddService("shelf", {target.address()}),
                         RouteRange::kNoTarget, 5);
  fixture.Start();
  AssertStatusAndVerdict(
      fixture.Call(FormatGet(
          "/shelf", "Snipehall-Key: k\r\nSnipehall-Deadline-Ms: 100\r\n")),
      504, "not-run");
  cr_assert(target.heads().empty());
}

// Guards against a request to a target that does not check fencing tokens while
// the instance may have an outdated assignment.
Test(data_verdict, unconfirmed_state_sends_nothing_to_targets_without_fencing) {
  FakeTarget target(RespondOk);
  DataFixture fixture;
  ServiceRoutes& routes = fixture.AddService("shelf", {target.address()});
  DataFixture::MakeKeyed(routes, 0, 5);
  routes.config.checks_orders = false;
  fixture.Start();
  const std::string request =
      FormatGet("/shelf", "Snipehall-Key: k\r\nSnipehall-Deadline-Ms: 100\r\n");
  AssertStatusAndVerdict(fixture.Call(request), 504, "not-run");
  cr_assert(target.heads().empty());
  const auto one_hour_later =
      std::chrono::steady_clock::now() + std::chrono::hours(1);
  fixture.confirmed_until = one_hour_later.time_since_epoch().count();
  cr_assert_eq(fixture.Call(request).status, 200);
}

// Guards against a request that is still running at a previous owner, which
// does not check fencing tokens, after the move of its key has waited for the
// longest default deadline.
Test(data_verdict, deadline_at_targets_without_fencing_is_bounded) {
  FakeTarget target(RespondOk);
  DataFixture fixture;
  ServiceRoutes& routes = fixture.AddService("shelf", {target.address()});
  DataFixture::MakeKeyed(routes, 0, 5);
  routes.config.checks_orders = false;
  const auto longest = routes.config.longest_deadline();
  const auto one_hour_later =
      std::chrono::steady_clock::now() + std::chrono::hours(1);
  fixture.confirmed_until = one_hour_later.time_since_epoch().count();
  fixture.Start();
  cr_assert_eq(fixture
                   .Call(FormatGet("/shelf",
                                   "Snipehall-Key: k\r\n"
                                   "Snipehall-Deadline-Ms: 600000\r\n"))
                   .status,
               200);
  const std::string sent =
      HeaderOf(target.heads().at(0), "Snipehall-Deadline-Ms");
  cr_assert_leq(std::stoll(sent), longest.count());
}

// Guards against requests that run past their deadline, and against reusing a
// connection while a response is pending on it.
Test(data_verdict, deadline_closes_the_connection_and_may_have_run) {
  std::promise<bool> closed;
  FakeTarget target([&closed](RawSocket& connection, const std::string& head) {
    if (head.starts_with("POST /control/")) {
      return connection.Send(kOkAnswer);
    }
    connection.ReadExactly(1);
    closed.set_value(connection.IsAtEnd());
    return false;
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  AssertStatusAndVerdict(
      fixture.Call(FormatPost("/pay", "x", "Snipehall-Deadline-Ms: 100\r\n")),
      504, "may-have-run");
  cr_assert(closed.get_future().get());
}

// Guards against a keep-alive connection that is closed without a response:
// when a response arrives together with the deadline, it is sent, but the read
// from the caller that the deadline cancelled completes only while the next
// request is awaited.
Test(data_verdict, connection_is_kept_after_a_response_at_the_deadline) {
  static constexpr auto kDeadline = std::chrono::milliseconds(5);
  FakeTarget target([](RawSocket& connection, const std::string& head) {
    if (head.starts_with("GET /pay")) {
      std::this_thread::sleep_for(kDeadline - std::chrono::microseconds(200));
    }
    return connection.Send(kOkAnswer);
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  for (int i = 0; i < 1000; ++i) {
    caller.Send(FormatGet("/pay", "Snipehall-Deadline-Ms: 5\r\n"));
    const int status = ReadResponse(caller).status;
    cr_assert(status == 200 || status == 503 || status == 504,
              "attempt %d: status %d", i, status);
  }
}

// Guards against requests that keep running at the target after their caller
// has disconnected.
Test(data_verdict, disconnect_of_the_caller_cancels_at_the_target) {
  std::promise<void> arrived;
  std::promise<bool> closed;
  std::promise<std::string> cancelled;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    if (head.starts_with("POST /control/cancel ")) {
      cancelled.set_value(connection.ReadThrough("}"));
      return connection.Send(kOkAnswer);
    }
    arrived.set_value();
    closed.set_value(connection.IsAtEnd());
    return false;
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  caller.Send(FormatGet("/pay", "Snipehall-Request-Id: gone-1\r\n"));
  arrived.get_future().get();
  caller.Close();
  cr_assert(closed.get_future().get());
  const std::string message = cancelled.get_future().get();
  cr_assert_eq(message, "{\"request_id\":\"gone-1\"}");
}

// Guards against a truncated response that the caller takes for a complete one.
Test(data_verdict, truncated_response_is_never_completed) {
  FakeTarget target([](RawSocket& connection, const std::string& head) {
    if (head.starts_with("GET /doc/length")) {
      connection.Send(
          "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly part");
    } else if (head.starts_with("GET /doc/chunked")) {
      connection.Send(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    }
    return false;
  });
  DataFixture fixture;
  fixture.AddService("doc", {target.address()});
  fixture.Start();
  for (const char* path : {"/doc/length", "/doc/chunked"}) {
    RawSocket caller = fixture.Connect();
    caller.Send(FormatGet(path));
    const Response response = ReadResponse(caller);
    cr_assert_eq(response.status, 200);
    cr_assert_not(response.complete, "%s was completed", path);
    cr_assert(caller.IsAtEnd());
  }
}

// Guards against malformed responses that are forwarded to the caller.
Test(data_verdict, malformed_response_is_may_have_run) {
  const std::string responses[] = {
      "nonsense\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n") +
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
      "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
  };
  std::atomic<std::size_t> index = 0;
  FakeTarget target([&](RawSocket& connection, const std::string&) {
    connection.Send(responses[index]);
    return false;
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  for (index = 0; index < std::size(responses); ++index) {
    AssertStatusAndVerdict(fixture.Call(FormatPost("/pay", "x")), 502,
                           "may-have-run");
  }
}

// Guards against a target that gets more requests than it has slots, and
// against an unbounded queue.
Test(data_verdict, requests_wait_for_a_slot_or_are_refused) {
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  std::atomic<int> running = 0;
  FakeTarget target([&](RawSocket& connection, const std::string&) {
    ++running;
    released.wait();
    return connection.Send(kOkAnswer);
  });
  DataFixture fixture;
  ServiceRoutes& routes = fixture.AddService("pay", {target.address()});
  routes.config.slots_per_endpoint = 1;
  routes.config.classes[0].queue_limit = 1;
  fixture.Start();
  RawSocket first = fixture.Connect();
  first.Send(FormatGet("/pay"));
  cr_assert(Eventually([&running] { return running == 1; }));
  RawSocket second = fixture.Connect();
  second.Send(FormatGet("/pay"));
  Response refused;
  // The second request may arrive after the third one.
  RawSocket third = fixture.Connect();
  third.Send(FormatGet("/pay"));
  cr_assert(Eventually([&] { return third.Fill(1) || second.Fill(1); }));
  cr_assert_eq(running, 1);
  release.set_value();
  const int statuses[] = {ReadResponse(first).status,
                          ReadResponse(second).status,
                          ReadResponse(third).status};
  cr_assert_eq(statuses[0], 200);
  cr_assert_eq(statuses[1] + statuses[2], 200 + 503);
}

// Guards against a stalled target that keeps getting requests: it accepts
// connections, so only missing responses show that it is stalled.
Test(data_verdict, stalled_target_is_excluded_until_it_answers_a_probe) {
  std::promise<void> resume;
  const std::shared_future<void> resumed = resume.get_future().share();
  FakeTarget stalled([&resumed](RawSocket& connection, const std::string&) {
    resumed.wait();
    return connection.Send(kOkAnswer);
  });
  FakeTarget target(RespondOk);
  DataFixture fixture;
  fixture.AddService("pay", {stalled.address(), target.address()});
  fixture.Start();
  // Parallel requests reach both targets; those at the stalled one stay
  // pending.
  std::vector<RawSocket> pending;
  cr_assert(Eventually([&] {
    pending.push_back(fixture.Connect());
    pending.back().Send(
        FormatPost("/pay", "x", "Snipehall-Deadline-Ms: 20000\r\n"));
    return CountRequests(stalled) > 0;
  }));
  // After the stall timeout of the TargetChooser the target is probed.
  cr_assert(Eventually([&stalled] {
    const auto heads = stalled.heads();
    return std::any_of(heads.begin(), heads.end(), [](const auto& head) {
      return head.starts_with("GET /health ");
    });
  }));
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(fixture.Call(FormatPost("/pay", "x")).status, 200);
  }
  resume.set_value();
  const std::size_t before = CountRequests(stalled);
  cr_assert(Eventually([&] {
    return fixture.Call(FormatPost("/pay", "x")).status == 200 &&
           CountRequests(stalled) > before + 1;
  }));
}
