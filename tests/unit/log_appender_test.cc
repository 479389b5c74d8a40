#include "transport/log_appender.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using snipehall::ErrorCode;
using snipehall::Fail;
using snipehall::LogOffset;
using snipehall::Milliseconds;
using snipehall::MonotonicTime;
using snipehall::Result;
using snipehall::TimestampedLogRead;

// A log whose next answers to appends are chosen by the test.
class FakeLog {
 public:
  boost::asio::awaitable<Result<TimestampedLogRead>> Read(LogOffset,
                                                          std::size_t,
                                                          Milliseconds,
                                                          MonotonicTime) {
    co_return Fail(ErrorCode::kUnavailable, "not read by this test");
  }

  boost::asio::awaitable<Result<LogOffset>> Append(std::string data,
                                                   MonotonicTime) {
    ++calls;
    const std::optional<ErrorCode> failure = next_failure;
    if (failure != ErrorCode::kRefused && !lose_request) {
      records.push_back(std::move(data));
    }
    if (failure) {
      co_return Fail(*failure, "chosen by the test");
    }
    co_return records.size();
  }

  void Close() {}

  std::vector<std::string> records;
  std::optional<ErrorCode> next_failure;
  bool lose_request = false;
  int calls = 0;
};

struct Fixture {
  boost::asio::io_context context;
  FakeLog log;
  std::set<std::string, std::less<>> rejected;
  snipehall::LogAppender<FakeLog> appender{
      context.get_executor(),
      &log,
      {.max_pending_records = 3,
       .max_concurrent_appends = 2,
       .append_timeout = 100ms,
       .retry_delay = 5ms},
      [this](std::string_view id, const snipehall::Error&) {
        rejected.emplace(id);
      }};

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  bool Append(const std::string& id) {
    return appender.Append(id, "data of " + id, Now() + 10s);
  }

  void Run() {
    context.restart();
    context.poll();
  }
};

// A reply that was lost after the write took effect must not lead to a second
// append before the log was read past the first.
Test(log_appender, lost_reply_is_settled_by_reading) {
  Fixture fixture;
  fixture.log.next_failure = ErrorCode::kTimeout;
  const MonotonicTime before = Fixture::Now();
  cr_assert(fixture.Append("a"));
  fixture.Run();
  cr_assert(fixture.appender.MayBeAppended("a"));

  // A read that was sent before the failure says nothing about the record.
  fixture.appender.OnCaughtUp(before);
  fixture.appender.Tick(Fixture::Now());
  fixture.Run();
  cr_assert_eq(fixture.log.calls, 1);

  fixture.appender.OnRecordRead("a");
  fixture.appender.OnCaughtUp(Fixture::Now());
  fixture.Run();
  cr_assert_eq(fixture.log.calls, 1);
  cr_assert_eq(fixture.appender.size(), 0);
}

// A request that was lost must be sent again, once the log has shown that the
// record is not there.
Test(log_appender, lost_request_is_sent_again_after_a_read) {
  Fixture fixture;
  fixture.log.next_failure = ErrorCode::kUnavailable;
  fixture.log.lose_request = true;
  cr_assert(fixture.Append("a"));
  fixture.Run();
  cr_assert(fixture.log.records.empty());

  fixture.log.next_failure.reset();
  fixture.log.lose_request = false;
  fixture.appender.OnCaughtUp(Fixture::Now());
  fixture.Run();
  cr_assert_eq(fixture.log.records.size(), 1);
}

// A refused connection proves that nothing was sent, so that no read is needed.
Test(log_appender, refused_append_is_sent_again_after_a_pause) {
  Fixture fixture;
  fixture.log.next_failure = ErrorCode::kRefused;
  cr_assert(fixture.Append("a"));
  fixture.Run();
  cr_assert(!fixture.appender.MayBeAppended("a"));

  fixture.log.next_failure.reset();
  fixture.appender.Tick(Fixture::Now());
  fixture.Run();
  cr_assert_eq(fixture.log.calls, 1);
  fixture.appender.Tick(Fixture::Now() + 10ms);
  fixture.Run();
  cr_assert_eq(fixture.log.records.size(), 1);
}

// Records must not pile up without bound during a log outage.
Test(log_appender, number_of_waiting_records_is_bounded) {
  Fixture fixture;
  fixture.log.next_failure = ErrorCode::kRefused;
  cr_assert(fixture.Append("a"));
  cr_assert(fixture.Append("b"));
  cr_assert(fixture.Append("c"));
  cr_assert(!fixture.Append("d"));
  cr_assert(fixture.Append("a"));
  fixture.Run();
  fixture.appender.Tick(Fixture::Now() + 11s);
  cr_assert_eq(fixture.appender.size(), 0);
}

// A record that the log refuses for good must not be sent for ever.
Test(log_appender, rejected_record_is_reported_and_dropped) {
  Fixture fixture;
  fixture.log.next_failure = ErrorCode::kInvalidArgument;
  cr_assert(fixture.Append("a"));
  fixture.Run();
  cr_assert_eq(fixture.rejected.count("a"), 1);
  cr_assert_eq(fixture.appender.size(), 0);
}

}  // namespace
