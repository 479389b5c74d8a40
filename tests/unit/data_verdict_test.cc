#include "unit/support/data_fixture.h"

#include <future>

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

bool AnswerOk(RawSocket& connection, const std::string& /*head*/) {
  return connection.Send(kOkAnswer);
}

bool RefuseAll(RawSocket& connection, const std::string& /*head*/) {
  return connection.Send(kNotRunAnswer);
}

// Closes the connection when it has read a request.
bool CloseAfterRequest(RawSocket& /*connection*/, const std::string& /*head*/) {
  return false;
}

// An address that refuses connections.
std::string ClosedAddress() {
  FakeTarget target(AnswerOk);
  return target.address();
}

void AssertReply(const Answer& answer, int status, const std::string& verdict) {
  cr_assert_eq(answer.status, status, "status %d", answer.status);
  const std::string found = answer.Header("Snipehall-Verdict");
  cr_assert_eq(found, verdict);
}

// The number of requests that are not control messages.
std::size_t Requests(FakeTarget& target) {
  const auto heads = target.heads();
  return static_cast<std::size_t>(
      std::count_if(heads.begin(), heads.end(), [](const std::string& head) {
        return head.find(" /control/") == std::string::npos;
      }));
}

}  // namespace

// Guards against a refused connection that is reported as a possible run.
Test(data_verdict, connect_failure_is_not_run) {
  DataFixture fixture;
  fixture.AddService("pay", {ClosedAddress()});
  fixture.Start();
  AssertReply(fixture.Call(Post("/pay", "x")), 503, "not-run");
}

// Guards against a dead target that fails requests while another one lives.
Test(data_verdict, connect_failure_is_retried_at_another_target) {
  FakeTarget target(AnswerOk);
  DataFixture fixture;
  fixture.AddService("pay", {ClosedAddress(), target.address()});
  fixture.Start();
  for (int i = 0; i < 5; ++i) {
    cr_assert_eq(fixture.Call(Post("/pay", "x")).status, 200);
  }
}

// Guards against a payment that runs twice: the target may have run it before
// it closed the connection.
Test(data_verdict, lost_answer_may_have_run_and_is_not_repeated) {
  FakeTarget first(CloseAfterRequest);
  FakeTarget second(CloseAfterRequest);
  DataFixture fixture;
  fixture.AddService("pay", {first.address(), second.address()});
  fixture.Start();
  AssertReply(fixture.Call(Post("/pay", "x")), 502, "may-have-run");
  cr_assert_eq(Requests(first) + Requests(second), 1U);
}

// Guards against idempotent requests that are given up at the first loss, and
// against a verdict that forgets the first attempt.
Test(data_verdict, repeatable_request_is_retried_within_its_attempts) {
  FakeTarget first(CloseAfterRequest);
  FakeTarget second(AnswerOk);
  DataFixture fixture;
  fixture.AddService("pay", {first.address(), second.address()});
  fixture.AddService("lost", {first.address()});
  fixture.Start();
  for (int i = 0; i < 5; ++i) {
    cr_assert_eq(fixture.Call(Get("/pay")).status, 200);
  }
  cr_assert_eq(
      fixture.Call(Post("/pay", "x", "Snipehall-Repeatable: yes\r\n")).status,
      200);
  AssertReply(fixture.Call(Get("/lost")), 502, "may-have-run");
  AssertReply(fixture.Call(Get("/pay", "Snipehall-Repeatable: maybe\r\n")), 400,
              "not-run");
}

// Guards against a second run when the target closes a kept connection while
// the next request is on its way.
Test(data_verdict, stale_connection_is_may_have_run) {
  std::atomic<int> count = 0;
  FakeTarget target([&count](RawSocket& connection, const std::string&) {
    return ++count == 1 && connection.Send(kOkAnswer);
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  caller.Send(Post("/pay", "1"));
  cr_assert_eq(ReadAnswer(caller).status, 200);
  caller.Send(Post("/pay", "2"));
  AssertReply(ReadAnswer(caller), 502, "may-have-run");
  cr_assert_eq(count, 2);
}

// Guards against a refused request that is lost although another target would
// take it; the refusal proves that it did not run.
Test(data_verdict, refusal_is_retried_at_another_target) {
  FakeTarget first(RefuseAll);
  FakeTarget second(AnswerOk);
  DataFixture fixture;
  fixture.AddService("pay", {first.address(), second.address()});
  fixture.AddService("full", {first.address()});
  fixture.Start();
  for (int i = 0; i < 5; ++i) {
    cr_assert_eq(fixture.Call(Post("/pay", "x")).status, 200);
  }
  const Answer refused = fixture.Call(Post("/full", "x"));
  AssertReply(refused, 503, "not-run");
  cr_assert(!refused.Header("Retry-After").empty());
}

// Guards against retries that multiply the load on a failing service.
Test(data_verdict, retries_end_with_the_budget) {
  FakeTarget first(RefuseAll);
  FakeTarget second(RefuseAll);
  DataFixture fixture;
  fixture.AddService("pay", {first.address(), second.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    caller.Send(Post("/pay", "x"));
    AssertReply(ReadAnswer(caller), 503, "not-run");
  }
  // 20 saved-up retries and one for each ten requests.
  cr_assert_leq(Requests(first) + Requests(second), kRequests + 20U + 20U);
}

// Guards against a request that fails, or goes on to the old owner, while its
// key moves.
Test(data_verdict, keyed_refusal_waits_for_newer_table) {
  FakeTarget former(RefuseAll);
  FakeTarget owner(AnswerOk);
  DataFixture fixture;
  ServiceRoutes& routes =
      fixture.AddService("shelf", {former.address(), owner.address()});
  DataFixture::MakeKeyed(routes, 0, 5);
  fixture.Start();
  auto answer = std::async(std::launch::async, [&fixture] {
    return fixture.Call(Post("/shelf", "x", "Snipehall-Key: k\r\n"));
  });
  cr_assert(Eventually([&former] { return Requests(former) > 0; }));
  DataFixture::MakeKeyed(routes, 1, 9);
  fixture.table.offset = 9;
  fixture.Publish();
  cr_assert_eq(answer.get().status, 200);
  cr_assert_eq(HeaderOf(owner.heads().at(0), "Snipehall-Token"), "9");
}

// Guards against a refusal that ends the wait although the owner only has to
// get its lease again, which changes no table.
Test(data_verdict, keyed_refusal_is_tried_again_at_the_same_owner) {
  std::atomic<int> count = 0;
  FakeTarget owner([&count](RawSocket& connection, const std::string&) {
    return connection.Send(++count < 3 ? kNotRunAnswer : kOkAnswer);
  });
  DataFixture fixture;
  DataFixture::MakeKeyed(fixture.AddService("shelf", {owner.address()}), 0, 5);
  fixture.Start();
  cr_assert_eq(fixture.Call(Get("/shelf", "Snipehall-Key: k\r\n")).status, 200);
  cr_assert_eq(count, 3);
}

// Guards against requests for a key without owner that are sent anywhere, or
// not answered by their deadline.
Test(data_verdict, key_without_owner_is_not_run) {
  FakeTarget target(AnswerOk);
  DataFixture fixture;
  DataFixture::MakeKeyed(fixture.AddService("shelf", {target.address()}),
                         RouteRange::kNoTarget, 5);
  fixture.Start();
  AssertReply(
      fixture.Call(
          Get("/shelf", "Snipehall-Key: k\r\nSnipehall-Deadline-Ms: 100\r\n")),
      504, "not-run");
  cr_assert(target.heads().empty());
}

// Guards against a request to a target that does not check tokens while the
// instance may hold an old assignment.
Test(data_verdict, unconfirmed_state_sends_nothing_to_trusting_targets) {
  FakeTarget target(AnswerOk);
  DataFixture fixture;
  ServiceRoutes& routes = fixture.AddService("shelf", {target.address()});
  DataFixture::MakeKeyed(routes, 0, 5);
  routes.config.checks_orders = false;
  fixture.Start();
  const std::string request =
      Get("/shelf", "Snipehall-Key: k\r\nSnipehall-Deadline-Ms: 100\r\n");
  AssertReply(fixture.Call(request), 504, "not-run");
  cr_assert(target.heads().empty());
  const auto later = std::chrono::steady_clock::now() + std::chrono::hours(1);
  fixture.confirmed_until = later.time_since_epoch().count();
  cr_assert_eq(fixture.Call(request).status, 200);
}

// Guards against a request that is still running at a former owner that does
// not check tokens when the move of its key has been waited for.
Test(data_verdict, deadline_at_trusting_targets_is_bounded) {
  FakeTarget target(AnswerOk);
  DataFixture fixture;
  ServiceRoutes& routes = fixture.AddService("shelf", {target.address()});
  DataFixture::MakeKeyed(routes, 0, 5);
  routes.config.checks_orders = false;
  const auto longest = routes.config.longest_deadline();
  const auto later = std::chrono::steady_clock::now() + std::chrono::hours(1);
  fixture.confirmed_until = later.time_since_epoch().count();
  fixture.Start();
  cr_assert_eq(fixture
                   .Call(Get("/shelf",
                             "Snipehall-Key: k\r\n"
                             "Snipehall-Deadline-Ms: 600000\r\n"))
                   .status,
               200);
  const std::string sent =
      HeaderOf(target.heads().at(0), "Snipehall-Deadline-Ms");
  cr_assert_leq(std::stoll(sent), longest.count());
}

// Guards against requests that outlive their deadline, and against a
// connection that is reused while an answer is pending on it.
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
  AssertReply(fixture.Call(Post("/pay", "x", "Snipehall-Deadline-Ms: 100\r\n")),
              504, "may-have-run");
  cr_assert(closed.get_future().get());
}

// Guards against a kept connection that is closed without an answer: an answer
// that arrives together with the deadline is sent, and the read of the caller
// that the deadline cancelled ends while the next request is awaited.
Test(data_verdict, connection_goes_on_after_an_answer_at_the_deadline) {
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
    caller.Send(Get("/pay", "Snipehall-Deadline-Ms: 5\r\n"));
    const int status = ReadAnswer(caller).status;
    cr_assert(status == 200 || status == 503 || status == 504,
              "attempt %d: status %d", i, status);
  }
}

// Guards against work that goes on at the target for a caller that has left.
Test(data_verdict, caller_that_leaves_is_cancelled_at_the_target) {
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
  caller.Send(Get("/pay", "Snipehall-Request-Id: gone-1\r\n"));
  arrived.get_future().get();
  caller.Close();
  cr_assert(closed.get_future().get());
  const std::string message = cancelled.get_future().get();
  cr_assert_eq(message, "{\"request_id\":\"gone-1\"}");
}

// Guards against a cut answer that the caller takes for a whole one.
Test(data_verdict, answer_cut_short_is_never_completed) {
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
    caller.Send(Get(path));
    const Answer answer = ReadAnswer(caller);
    cr_assert_eq(answer.status, 200);
    cr_assert_not(answer.whole, "%s was completed", path);
    cr_assert(caller.IsAtEnd());
  }
}

// Guards against malformed answers that are passed on.
Test(data_verdict, malformed_answer_is_may_have_run) {
  const std::string answers[] = {
      "nonsense\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n") +
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
      "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
  };
  std::atomic<std::size_t> index = 0;
  FakeTarget target([&](RawSocket& connection, const std::string&) {
    connection.Send(answers[index]);
    return false;
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  for (index = 0; index < std::size(answers); ++index) {
    AssertReply(fixture.Call(Post("/pay", "x")), 502, "may-have-run");
  }
}

// Guards against a full target that gets more work than its slots, and against
// a queue without bound.
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
  first.Send(Get("/pay"));
  cr_assert(Eventually([&running] { return running == 1; }));
  RawSocket second = fixture.Connect();
  second.Send(Get("/pay"));
  Answer refused;
  // The second request may arrive after the third one.
  RawSocket third = fixture.Connect();
  third.Send(Get("/pay"));
  cr_assert(Eventually([&] { return third.Fill(1) || second.Fill(1); }));
  cr_assert_eq(running, 1);
  release.set_value();
  const int statuses[] = {ReadAnswer(first).status, ReadAnswer(second).status,
                          ReadAnswer(third).status};
  cr_assert_eq(statuses[0], 200);
  cr_assert_eq(statuses[1] + statuses[2], 200 + 503);
}

// Guards against a stalled target that keeps getting requests: it accepts
// connections, so only its silence shows that it does nothing.
Test(data_verdict, frozen_target_is_left_out_until_it_answers) {
  std::promise<void> thaw;
  const std::shared_future<void> thawed = thaw.get_future().share();
  FakeTarget frozen([&thawed](RawSocket& connection, const std::string&) {
    thawed.wait();
    return connection.Send(kOkAnswer);
  });
  FakeTarget target(AnswerOk);
  DataFixture fixture;
  fixture.AddService("pay", {frozen.address(), target.address()});
  fixture.Start();
  // Requests in parallel reach both targets; those at the stalled one stay.
  std::vector<RawSocket> stuck;
  cr_assert(Eventually([&] {
    stuck.push_back(fixture.Connect());
    stuck.back().Send(Post("/pay", "x", "Snipehall-Deadline-Ms: 20000\r\n"));
    return Requests(frozen) > 0;
  }));
  // Its silence is noticed after the chooser's stall timeout; then it is
  // probed.
  cr_assert(Eventually([&frozen] {
    const auto heads = frozen.heads();
    return std::any_of(heads.begin(), heads.end(), [](const auto& head) {
      return head.starts_with("GET /health ");
    });
  }));
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(fixture.Call(Post("/pay", "x")).status, 200);
  }
  thaw.set_value();
  const std::size_t before = Requests(frozen);
  cr_assert(Eventually([&] {
    return fixture.Call(Post("/pay", "x")).status == 200 &&
           Requests(frozen) > before + 1;
  }));
}
