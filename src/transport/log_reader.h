#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>
#include <functional>
#include <utility>

#include "transport/platform.h"
#include "transport/read_pace.h"

namespace snipehall {

// Reads the log again and again, by long polls that are short enough to keep
// the state confirmed. One read is in progress at a time.
template <LogClient Client>
class LogReader {
 public:
  struct Events {
    // Offset at which the next read begins.
    std::function<LogOffset()> next;
    std::function<void(const TimedLogRead&)> on_read;
    std::function<void(const Error&)> on_failure;
  };

  // `client` outlives the reader.
  LogReader(const boost::asio::any_io_executor& executor,
            Client* client,
            ReadPace::Limits limits,
            Events events)
      : m_client(client),
        m_pace(limits),
        m_events(std::move(events)),
        m_timer(executor) {}

  // Runs until Stop(). The reader outlives the coroutine.
  boost::asio::awaitable<void> Run() {
    while (!m_stopped) {
      const MonotonicTime began = Now();
      const MonotonicTime deadline = m_pace.Deadline(began);
      const Result<TimedLogRead> read = co_await m_client->Read(
          m_events.next(), kMaxRecords, m_pace.wait(), deadline);
      if (m_stopped) {
        co_return;
      }
      m_timer.expires_at(Handle(began, read));
      co_await m_timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }

  // Ends Run(), once the client's read in progress has ended.
  void Stop() {
    m_stopped = true;
    m_timer.cancel();
  }

 private:
  // Bounds the time that decoding one answer takes on the event loop.
  static constexpr std::size_t kMaxRecords = 256;

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  // Returns the time at which the next read may be sent.
  MonotonicTime Handle(MonotonicTime began, const Result<TimedLogRead>& read) {
    const MonotonicTime now = Now();
    if (read.has_error()) {
      m_events.on_failure(read.error());
      return m_pace.OnFailure(now, read.error().code == ErrorCode::kTimeout);
    }
    const bool news = !read.value().read.entries.empty();
    m_events.on_read(read.value());
    return m_pace.OnAnswer(began, now, news);
  }

  Client* m_client;
  ReadPace m_pace;
  Events m_events;
  boost::asio::steady_timer m_timer;
  bool m_stopped = false;
};

}  // namespace snipehall
