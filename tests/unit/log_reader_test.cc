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

// Returns a read with the entries from offset `from` up to, not including,
// `end`.
LogRead MakeLogRead(LogOffset first, LogOffset from, LogOffset end) {
  LogRead read{first, end, {}};
  for (LogOffset offset = from; offset < end; ++offset) {
    read.entries.push_back(LogEntry{offset, std::nullopt});
  }
  return read;
}

// Guards against a gap between confirmations of the state: also with a slow
// log, the next answer must arrive before the confirmation by the last one
// expires.
Test(log_read_scheduler, answers_arrive_within_the_validity_of_a_confirmation) {
  for (const Milliseconds latency : {0ms, 50ms, 100ms, 160ms, 240ms}) {
    LogReadScheduler scheduler{LogReadScheduler::Limits{}};
    MonotonicTime sent_at{};
    MonotonicTime last_sent_at{};
    for (int i = 0; i < 10; ++i) {
      const MonotonicTime answered_at =
          sent_at + scheduler.poll_wait() + latency;
      cr_assert(i < 2 || answered_at < last_sent_at + 500ms);
      last_sent_at = sent_at;
      sent_at = std::max(answered_at,
                         scheduler.OnAnswer(sent_at, answered_at, false));
    }
  }
}

// Guards against a log that cannot be read because it takes seconds to answer.
// Such answers are too late to confirm the state, but their records are needed.
Test(log_read_scheduler, timeout_grows_after_timeouts_up_to_a_limit) {
  LogReadScheduler scheduler{LogReadScheduler::Limits{}};
  const MonotonicTime now{};
  for (int i = 0; i < 6; ++i) {
    scheduler.OnFailure(now, true);
  }
  cr_assert(scheduler.Deadline(now) >= now + 4s);
  cr_assert(scheduler.Deadline(now) <= now + 5s);
}

// Guards against reading in a tight loop while the log refuses connections, and
// against a long delay once it accepts them again.
Test(log_read_scheduler, retry_delay_is_limited) {
  LogReadScheduler scheduler{LogReadScheduler::Limits{}};
  const MonotonicTime now{};
  cr_assert_eq(scheduler.OnFailure(now, false), now + 20ms);
  for (int i = 0; i < 10; ++i) {
    scheduler.OnFailure(now, false);
  }
  cr_assert_eq(scheduler.OnFailure(now, false), now + 250ms);
}

// Log client whose first read fails; each later one returns two records.
class FakeLog {
 public:
  boost::asio::awaitable<Result<TimestampedLogRead>> Read(LogOffset from,
                                                          std::size_t,
                                                          Milliseconds,
                                                          MonotonicTime) {
    read_offsets.push_back(from);
    if (read_offsets.size() == 1) {
      co_return Fail(ErrorCode::kRefused, "simulated failure");
    }
    co_return TimestampedLogRead{std::chrono::steady_clock::now(),
                                 MakeLogRead(1, from, from + 2)};
  }

  boost::asio::awaitable<Result<LogOffset>> Append(std::string, MonotonicTime) {
    co_return Fail(ErrorCode::kUnavailable,
                   "the fake log does not support appends");
  }

  void Close() {}

  std::vector<LogOffset> read_offsets;
};

// Guards against a failed read that ends the read loop or skips records.
Test(log_reader, failed_read_is_retried_at_the_same_offset) {
  boost::asio::io_context context;
  FakeLog log;
  LogOffset next = 1;
  int failures = 0;
  int reads = 0;
  snipehall::LogReader<FakeLog>* reader_pointer = nullptr;
  snipehall::LogReader<FakeLog> reader(
      context.get_executor(), &log, LogReadScheduler::Limits{},
      {.next_offset = [&] { return next; },
       .on_read =
           [&](const TimestampedLogRead& read) {
             next = read.read.end_offset;
             if (++reads == 3) {
               reader_pointer->Stop();
             }
           },
       .on_failure = [&](const snipehall::Error&) { ++failures; }});
  reader_pointer = &reader;
  snipehall::Spawn(context.get_executor(), reader.Run());
  context.run_for(5s);
  cr_assert_eq(failures, 1);
  cr_assert_eq(reads, 3);
  const std::vector<LogOffset> expected = {1, 1, 3, 5};
  cr_assert(log.read_offsets == expected);
}

}  // namespace
