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

// What all fake targets have seen.
struct Traffic {
  int in_progress = 0;
  int most_in_progress = 0;
  std::vector<LogOffset> sets;
  int queries = 0;
  std::vector<std::string> addresses;
};

// A target that answers after 5 ms.
class FakeTarget {
 public:
  FakeTarget(const boost::asio::any_io_executor& executor, Traffic* traffic)
      : m_timer(executor), m_traffic(traffic) {}

  boost::asio::awaitable<Result<TimestampedLeaseResponse>> SendOrder(
      const LeaseOrder& order,
      MonotonicTime deadline) {
    m_traffic->sets.push_back(order.assignment_version);
    return Answer(deadline);
  }

  boost::asio::awaitable<Result<TimestampedLeaseResponse>> QueryStatus(
      MonotonicTime deadline) {
    ++m_traffic->queries;
    return Answer(deadline);
  }

  void Close() { m_timer.cancel(); }

 private:
  boost::asio::awaitable<Result<TimestampedLeaseResponse>> Answer(
      MonotonicTime) {
    ++m_traffic->in_progress;
    m_traffic->most_in_progress =
        std::max(m_traffic->most_in_progress, m_traffic->in_progress);
    m_timer.expires_after(5ms);
    const auto [error] = co_await m_timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    --m_traffic->in_progress;
    if (error) {
      co_return Fail(ErrorCode::kUnavailable, "closed");
    }
    co_return TimestampedLeaseResponse{};
  }

  boost::asio::steady_timer m_timer;
  Traffic* m_traffic;
};

struct Fixture {
  boost::asio::io_context context;
  Traffic traffic;
  int answers = 0;
  int failures = 0;
  snipehall::TargetDispatcher<FakeTarget> dispatcher{
      context.get_executor(),
      [this](const std::string& address) {
        traffic.addresses.push_back(address);
        return std::make_shared<FakeTarget>(context.get_executor(), &traffic);
      },
      {},
      {.on_answer = [this](const TargetId&,
                           const LeaseOrder*,
                           const TimestampedLeaseResponse&) { ++answers; },
       .on_failure = [this](const TargetId&,
                            const snipehall::Error&) { ++failures; }}};

  void Order(LogOffset set, std::string address = "127.0.0.1:1") {
    LeaseOrder order;
    order.target = "t1";
    order.assignment_version = set;
    dispatcher.Send(SendLeaseOrder{std::move(address), std::move(order)});
  }

  void Query() { dispatcher.Send(SendStatusQuery{"t1", "127.0.0.1:1"}); }
};

// Two orders in progress could overtake each other on two connections.
Test(target_dispatcher, sends_one_call_at_a_time_and_the_newest_order_next) {
  Fixture fixture;
  fixture.Order(1);
  fixture.context.poll();
  fixture.Order(2);
  fixture.Order(3);
  fixture.Query();
  fixture.context.restart();
  fixture.context.run_for(2s);
  const std::vector<LogOffset> expected = {1, 3};
  cr_assert(fixture.traffic.sets == expected);
  cr_assert_eq(fixture.traffic.queries, 0);
  cr_assert_eq(fixture.traffic.most_in_progress, 1);
  cr_assert_eq(fixture.answers, 2);
  cr_assert_eq(fixture.traffic.addresses.size(), 1);
}

// A target that was replaced under the same id has another address.
Test(target_dispatcher, follows_a_changed_address) {
  Fixture fixture;
  fixture.Order(1, "127.0.0.1:1");
  fixture.context.run_for(2s);
  fixture.Order(2, "127.0.0.1:2");
  fixture.context.restart();
  fixture.context.run_for(2s);
  const std::vector<std::string> expected = {"127.0.0.1:1", "127.0.0.1:2"};
  cr_assert(fixture.traffic.addresses == expected);
}

// The control thread must end while a call is in progress.
Test(target_dispatcher, close_ends_the_call_in_progress) {
  Fixture fixture;
  fixture.Order(1);
  fixture.context.poll();
  fixture.dispatcher.Close();
  fixture.Order(2);
  fixture.context.restart();
  fixture.context.run_for(2s);
  cr_assert(fixture.context.stopped());
  cr_assert_eq(fixture.traffic.sets.size(), 1);
  cr_assert_eq(fixture.answers + fixture.failures, 0);
}

}  // namespace
