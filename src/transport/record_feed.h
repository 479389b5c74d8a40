#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "transport/record_log.h"

namespace snipehall {

// Follows a topic: its newest records first, then what comes. Starts over when
// records expired before they were read, and repeats failed reads.
template <RecordLog Log>
class RecordFeed {
 public:
  struct Options {
    std::string topic;
    // Least time between two reads. Zero for a topic whose every record
    // counts at once; then reads wait for one.
    Milliseconds interval{0};
    // Time allowed for a read that does not wait.
    Milliseconds limit{1500};
  };

  struct Events {
    // `whole` says that the page has all keys of the topic.
    std::function<void(const RecordPage& page, bool whole)> on_page;
    std::function<void(const Error& error)> on_failure;
    // How long the next read may wait; used without an interval.
    std::function<Milliseconds()> wait;
  };

  RecordFeed(boost::asio::any_io_executor executor,
             std::shared_ptr<Log> log,
             Options options,
             Events events)
      : m_timer(executor),
        m_log(std::move(log)),
        m_options(std::move(options)),
        m_events(std::move(events)) {}

  boost::asio::awaitable<void> Run() {
    Milliseconds pause = kFirstPause;
    while (!m_closed) {
      const MonotonicTime began = std::chrono::steady_clock::now();
      const Result<RecordPage> page = co_await ReadPage();
      if (m_closed) {
        break;
      }
      if (page.has_error() && page.error().code == ErrorCode::kNotFound) {
        m_started = false;
        continue;
      }
      if (page.has_error()) {
        m_events.on_failure(page.error());
        co_await PauseUntil(std::chrono::steady_clock::now() + pause);
        pause = std::min(pause * 2, kLastPause);
        continue;
      }
      pause = kFirstPause;
      m_next = page.value().end;
      m_events.on_page(page.value(), !std::exchange(m_started, true));
      if (m_options.interval.count() > 0) {
        co_await PauseUntil(began + m_options.interval);
      }
    }
  }

  void Close() {
    m_closed = true;
    m_log->Close();
    m_timer.cancel();
  }

 private:
  // Pauses after failed reads: the first ones are short, since a lost answer
  // is the usual cause, and an outage must not be met with many calls.
  static constexpr Milliseconds kFirstPause{50};
  static constexpr Milliseconds kLastPause{400};

  boost::asio::awaitable<Result<RecordPage>> ReadPage() {
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (!m_started) {
      return m_log->ReadNewest(m_options.topic, now + m_options.limit);
    }
    const Milliseconds wait =
        m_options.interval.count() > 0 ? Milliseconds(0) : m_events.wait();
    return m_log->Read(m_options.topic, m_next, wait,
                       now + wait + m_options.limit);
  }

  boost::asio::awaitable<void> PauseUntil(MonotonicTime until) {
    m_timer.expires_at(until);
    co_await m_timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  boost::asio::steady_timer m_timer;
  std::shared_ptr<Log> m_log;
  Options m_options;
  Events m_events;
  std::uint64_t m_next = 0;
  bool m_started = false;
  bool m_closed = false;
};

}  // namespace snipehall
