#include "transport/target_dispatcher.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using snipehall::ErrorCode;
using snipehall::Fail;
using snipehall::LeaseOrder;
using snipehall::LogOffset;
using snipehall::MonotonicTime;
using snipehall::Result;
using snipehall::SendLeaseOrder;
using snipehall::SendStatusQuery;
using snipehall::TargetId;
using snipehall::TimestampedLeaseResponse;

// Calls that the fake clients have received.
struct ReceivedCalls {
  int in_progress = 0;
  int max_in_progress = 0;
  std::vector<LogOffset> assignment_versions;
  int queries = 0;
  // Addresses that clients were created for.
  std::vector<std::string> addresses;
};

// A TargetClient that answers each call after 5 ms.
class FakeTargetClient {
 public:
  FakeTargetClient(const boost::asio::any_io_executor& executor,
                   ReceivedCalls* calls)
      : m_timer(executor), m_calls(calls) {}

  boost::asio::awaitable<Result<TimestampedLeaseResponse>> SendOrder(
      const LeaseOrder& order,
      MonotonicTime deadline) {
    m_calls->assignment_versions.push_back(order.assignment_version);
    return Respond(deadline);
  }

  boost::asio::awaitable<Result<TimestampedLeaseResponse>> QueryStatus(
      MonotonicTime deadline) {
    ++m_calls->queries;
    return Respond(deadline);
  }

  void Close() { m_timer.cancel(); }

 private:
  boost::asio::awaitable<Result<TimestampedLeaseResponse>> Respond(
      MonotonicTime) {
    ++m_calls->in_progress;
    m_calls->max_in_progress =
        std::max(m_calls->max_in_progress, m_calls->in_progress);
    m_timer.expires_after(5ms);
    const auto [error] = co_await m_timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    --m_calls->in_progress;
    if (error) {
      co_return Fail(ErrorCode::kUnavailable, "closed");
    }
    co_return TimestampedLeaseResponse{};
  }

  boost::asio::steady_timer m_timer;
  ReceivedCalls* m_calls;
};

struct Fixture {
  boost::asio::io_context context;
  ReceivedCalls calls;
  int answers = 0;
  int failures = 0;
  snipehall::TargetDispatcher<FakeTargetClient> dispatcher{
      context.get_executor(),
      [this](const std::string& address) {
        calls.addresses.push_back(address);
        return std::make_shared<FakeTargetClient>(context.get_executor(),
                                                  &calls);
      },
      {},
      {.on_answer = [this](const TargetId&,
                           const LeaseOrder*,
                           const TimestampedLeaseResponse&) { ++answers; },
       .on_failure = [this](const TargetId&,
                            const snipehall::Error&) { ++failures; }}};

  void EnqueueOrder(LogOffset assignment_version,
                    std::string address = "127.0.0.1:1") {
    LeaseOrder order;
    order.target = "t1";
    order.assignment_version = assignment_version;
    dispatcher.Send(SendLeaseOrder{std::move(address), std::move(order)});
  }

  void EnqueueQuery() { dispatcher.Send(SendStatusQuery{"t1", "127.0.0.1:1"}); }
};

// Guards against reordering: two orders in progress on two connections could
// overtake each other.
Test(target_dispatcher, sends_one_call_at_a_time_and_then_the_newest_order) {
  Fixture fixture;
  fixture.EnqueueOrder(1);
  fixture.context.poll();
  fixture.EnqueueOrder(2);
  fixture.EnqueueOrder(3);
  fixture.EnqueueQuery();
  fixture.context.restart();
  fixture.context.run_for(2s);
  const std::vector<LogOffset> expected = {1, 3};
  cr_assert(fixture.calls.assignment_versions == expected);
  cr_assert_eq(fixture.calls.queries, 0);
  cr_assert_eq(fixture.calls.max_in_progress, 1);
  cr_assert_eq(fixture.answers, 2);
  cr_assert_eq(fixture.calls.addresses.size(), 1);
}

// Guards against calls to the old address of a target that was replaced under
// the same id.
Test(target_dispatcher, reconnects_when_the_address_changes) {
  Fixture fixture;
  fixture.EnqueueOrder(1, "127.0.0.1:1");
  fixture.context.run_for(2s);
  fixture.EnqueueOrder(2, "127.0.0.1:2");
  fixture.context.restart();
  fixture.context.run_for(2s);
  const std::vector<std::string> expected = {"127.0.0.1:1", "127.0.0.1:2"};
  cr_assert(fixture.calls.addresses == expected);
}

// Guards against a control thread that cannot stop while a call is in progress.
Test(target_dispatcher, close_cancels_the_call_in_progress) {
  Fixture fixture;
  fixture.EnqueueOrder(1);
  fixture.context.poll();
  fixture.dispatcher.Close();
  fixture.EnqueueOrder(2);
  fixture.context.restart();
  fixture.context.run_for(2s);
  cr_assert(fixture.context.stopped());
  cr_assert_eq(fixture.calls.assignment_versions.size(), 1);
  cr_assert_eq(fixture.answers + fixture.failures, 0);
}

}  // namespace
