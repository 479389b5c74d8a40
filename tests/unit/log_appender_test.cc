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

// Log client whose appends fail as configured by the test. Reads always fail.
class FakeLog {
 public:
  boost::asio::awaitable<Result<TimestampedLogRead>> Read(LogOffset,
                                                          std::size_t,
                                                          Milliseconds,
                                                          MonotonicTime) {
    co_return Fail(ErrorCode::kUnavailable,
                   "the fake log does not support reads");
  }

  boost::asio::awaitable<Result<LogOffset>> Append(std::string data,
                                                   MonotonicTime) {
    ++append_calls;
    const std::optional<ErrorCode> failure = next_failure;
    if (failure != ErrorCode::kRefused && !lose_request) {
      records.push_back(std::move(data));
    }
    if (failure) {
      co_return Fail(*failure, "simulated failure");
    }
    co_return records.size();
  }

  void Close() {}

  std::vector<std::string> records;
  std::optional<ErrorCode> next_failure;
  bool lose_request = false;
  int append_calls = 0;
};

// An appender to a FakeLog; collects the IDs of rejected records.
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

// Guards against a duplicate append when the response is lost after the write
// took effect: the record must not be resent before the log was read past it.
Test(log_appender, lost_response_is_resolved_by_reading) {
  Fixture fixture;
  fixture.log.next_failure = ErrorCode::kTimeout;
  const MonotonicTime before = Fixture::Now();
  cr_assert(fixture.Append("a"));
  fixture.Run();
  cr_assert(fixture.appender.MayBeAppended("a"));

  // A read that was sent before the failure does not show whether the record
  // was appended.
  fixture.appender.OnCaughtUp(before);
  fixture.appender.Tick(Fixture::Now());
  fixture.Run();
  cr_assert_eq(fixture.log.append_calls, 1);

  fixture.appender.OnRecordRead("a");
  fixture.appender.OnCaughtUp(Fixture::Now());
  fixture.Run();
  cr_assert_eq(fixture.log.append_calls, 1);
  cr_assert_eq(fixture.appender.size(), 0);
}

// Guards against losing a record whose append request was lost: it must be
// resent once a read has shown that the log does not contain the record.
Test(log_appender, lost_request_is_resent_after_a_read) {
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

// Guards against waiting for a read after a refused connection, which proves
// that nothing was sent. The append is retried after a delay.
Test(log_appender, refused_append_is_resent_after_a_delay) {
  Fixture fixture;
  fixture.log.next_failure = ErrorCode::kRefused;
  cr_assert(fixture.Append("a"));
  fixture.Run();
  cr_assert(!fixture.appender.MayBeAppended("a"));

  fixture.log.next_failure.reset();
  fixture.appender.Tick(Fixture::Now());
  fixture.Run();
  cr_assert_eq(fixture.log.append_calls, 1);
  fixture.appender.Tick(Fixture::Now() + 10ms);
  fixture.Run();
  cr_assert_eq(fixture.log.records.size(), 1);
}

// Guards against an unbounded queue of records during a log outage.
Test(log_appender, number_of_pending_records_is_limited) {
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

// Guards against endless retries of a record that the log rejects permanently.
Test(log_appender, rejected_record_is_reported_and_dropped) {
  Fixture fixture;
  fixture.log.next_failure = ErrorCode::kInvalidArgument;
  cr_assert(fixture.Append("a"));
  fixture.Run();
  cr_assert_eq(fixture.rejected.count("a"), 1);
  cr_assert_eq(fixture.appender.size(), 0);
}

}  // namespace
