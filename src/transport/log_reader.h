#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>
#include <functional>
#include <utility>

#include "transport/log_read_scheduler.h"
#include "transport/platform_clients.h"

namespace snipehall {

// Follows the log with consecutive long polls, one at a time. Each poll is
// short enough for the replicated state to stay confirmed between two
// responses.
template <LogClient Client>
class LogReader {
 public:
  struct Handlers {
    // Returns the offset at which the next read begins.
    std::function<LogOffset()> next_offset;
    // Called with the result of each read that succeeded.
    std::function<void(const TimestampedLogRead&)> on_read;
    // Called with the error of each read that failed.
    std::function<void(const Error&)> on_failure;
  };

  // `client` must outlive the reader.
  LogReader(const boost::asio::any_io_executor& executor,
            Client* client,
            LogReadScheduler::Limits limits,
            Handlers handlers)
      : m_client(client),
        m_scheduler(limits),
        m_handlers(std::move(handlers)),
        m_timer(executor) {}

  // Reads until Stop() is called. The reader must outlive the coroutine.
  boost::asio::awaitable<void> Run() {
    while (!m_stopped) {
      const MonotonicTime sent_at = Now();
      const MonotonicTime deadline = m_scheduler.Deadline(sent_at);
      const Result<TimestampedLogRead> read =
          co_await m_client->Read(m_handlers.next_offset(), kMaxRecordsPerRead,
                                  m_scheduler.poll_wait(), deadline);
      if (m_stopped) {
        co_return;
      }
      m_timer.expires_at(HandleResult(sent_at, read));
      co_await m_timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }

  // Makes Run() return after the read in progress has ended. Close the client
  // to cancel that read.
  void Stop() {
    m_stopped = true;
    m_timer.cancel();
  }

 private:
  // Limits the time for which decoding one response blocks the event loop.
  static constexpr std::size_t kMaxRecordsPerRead = 256;

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  // Reports the result to the handlers and returns the time at which the next
  // read may be sent.
  MonotonicTime HandleResult(MonotonicTime sent_at,
                             const Result<TimestampedLogRead>& read) {
    const MonotonicTime now = Now();
    if (read.has_error()) {
      m_handlers.on_failure(read.error());
      return m_scheduler.OnFailure(now,
                                   read.error().code == ErrorCode::kTimeout);
    }
    const bool has_records = !read.value().read.entries.empty();
    m_handlers.on_read(read.value());
    return m_scheduler.OnAnswer(sent_at, now, has_records);
  }

  Client* m_client;
  LogReadScheduler m_scheduler;
  Handlers m_handlers;
  boost::asio::steady_timer m_timer;
  bool m_stopped = false;
};

}  // namespace snipehall
