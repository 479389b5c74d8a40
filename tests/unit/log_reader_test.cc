#include "transport/log_reader.h"

#include <boost/asio/io_context.hpp>
#include <vector>

#include "transport/spawn.h"

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using snipehall::ErrorCode;
using snipehall::Fail;
using snipehall::LogEntry;
using snipehall::LogOffset;
using snipehall::LogRead;
using snipehall::LogReadScheduler;
using snipehall::Milliseconds;
using snipehall::MonotonicTime;
using snipehall::Result;
using snipehall::TimestampedLogRead;

LogRead Entries(LogOffset first, LogOffset from, LogOffset end) {
  LogRead read{first, end, {}};
  for (LogOffset offset = from; offset < end; ++offset) {
    read.entries.push_back(LogEntry{offset, std::nullopt});
  }
  return read;
}

// The next answer must arrive before the confirmation by the last one ends,
// also when the log is slow.
Test(log_read_scheduler, answers_arrive_within_the_validity_of_a_confirmation) {
  for (const Milliseconds latency : {0ms, 50ms, 100ms, 160ms, 240ms}) {
    LogReadScheduler scheduler{LogReadScheduler::Limits{}};
    MonotonicTime began{};
    MonotonicTime last_began{};
    for (int i = 0; i < 10; ++i) {
      const MonotonicTime answered = began + scheduler.poll_wait() + latency;
      cr_assert(i < 2 || answered < last_began + 500ms);
      last_began = began;
      began = std::max(answered, scheduler.OnAnswer(began, answered, false));
    }
  }
}

// A log that answers after seconds must still be read, though it confirms
// nothing.
Test(log_read_scheduler, patience_grows_after_time_outs_up_to_a_bound) {
  LogReadScheduler scheduler{LogReadScheduler::Limits{}};
  const MonotonicTime now{};
  for (int i = 0; i < 6; ++i) {
    scheduler.OnFailure(now, true);
  }
  cr_assert(scheduler.Deadline(now) >= now + 4s);
  cr_assert(scheduler.Deadline(now) <= now + 5s);
}

// A log that refuses connections must not be asked in a tight loop, and must
// be found soon after it returned.
Test(log_read_scheduler, pause_after_failures_is_bounded) {
  LogReadScheduler scheduler{LogReadScheduler::Limits{}};
  const MonotonicTime now{};
  cr_assert_eq(scheduler.OnFailure(now, false), now + 20ms);
  for (int i = 0; i < 10; ++i) {
    scheduler.OnFailure(now, false);
  }
  cr_assert_eq(scheduler.OnFailure(now, false), now + 250ms);
}

class FakeLog {
 public:
  boost::asio::awaitable<Result<TimestampedLogRead>> Read(LogOffset from,
                                                          std::size_t,
                                                          Milliseconds,
                                                          MonotonicTime) {
    froms.push_back(from);
    if (froms.size() == 1) {
      co_return Fail(ErrorCode::kRefused, "chosen by the test");
    }
    co_return TimestampedLogRead{std::chrono::steady_clock::now(),
                                 Entries(1, from, from + 2)};
  }

  boost::asio::awaitable<Result<LogOffset>> Append(std::string, MonotonicTime) {
    co_return Fail(ErrorCode::kUnavailable, "not written by this test");
  }

  void Close() {}

  std::vector<LogOffset> froms;
};

// A failed read must not end the loop or skip records.
Test(log_reader, goes_on_after_a_failure_at_the_same_offset) {
  boost::asio::io_context context;
  FakeLog log;
  LogOffset next = 1;
  int failures = 0;
  int reads = 0;
  snipehall::LogReader<FakeLog>* running = nullptr;
  snipehall::LogReader<FakeLog> reader(
      context.get_executor(), &log, LogReadScheduler::Limits{},
      {.next_offset = [&] { return next; },
       .on_read =
           [&](const TimestampedLogRead& read) {
             next = read.read.end_offset;
             if (++reads == 3) {
               running->Stop();
             }
           },
       .on_failure = [&](const snipehall::Error&) { ++failures; }});
  running = &reader;
  snipehall::Spawn(context.get_executor(), reader.Run());
  context.run_for(5s);
  cr_assert_eq(failures, 1);
  cr_assert_eq(reads, 3);
  const std::vector<LogOffset> expected = {1, 1, 3, 5};
  cr_assert(log.froms == expected);
}

}  // namespace
