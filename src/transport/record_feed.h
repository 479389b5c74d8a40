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

#include "state/topic_cache.h"
#include "transport/relayed_log.h"

namespace snipehall {

// Follows a topic: its newest records first, then what comes. Starts over when
// records expired before they were read, and repeats failed reads. Keeps what
// it read for instances that read from this one.
template <RecordLog Log>
class RecordFeed {
 public:
  struct Events {
    // `whole` says that the page has all keys of the topic.
    std::function<void(const RecordPage& page, bool whole)> on_page;
    std::function<void(const Error& error)> on_failure;
  };

  RecordFeed(const boost::asio::any_io_executor& executor,
             std::string topic,
             std::shared_ptr<RelayedLog<Log>> log,
             Events events)
      : m_timer(executor),
        m_topic(std::move(topic)),
        m_log(std::move(log)),
        m_events(std::move(events)) {}

  boost::asio::awaitable<void> Run() {
    Milliseconds pause = kFirstPause;
    while (!m_closed) {
      const Result<RecordPage> page = co_await ReadPage();
      if (m_closed) {
        break;
      }
      if (page.has_error() && page.error().code == ErrorCode::kNotFound &&
          m_started) {
        m_started = false;
        continue;
      }
      if (page.has_error()) {
        m_events.on_failure(page.error());
        m_timer.expires_after(pause);
        co_await m_timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        pause = std::min(pause * 2, kLastPause);
        continue;
      }
      pause = kFirstPause;
      m_cache.Add(m_started ? m_next : page.value().end, page.value());
      m_next = page.value().end;
      m_events.on_page(page.value(), !std::exchange(m_started, true));
    }
  }

  const std::string& topic() const { return m_topic; }
  const TopicCache& cache() const { return m_cache; }

  void Close() {
    m_closed = true;
    m_log->Close();
    m_timer.cancel();
  }

 private:
  // Pauses after failed reads: the first ones are short, since a lost answer
  // is the usual cause, and an outage must not be met with many calls.
  static constexpr Milliseconds kFirstPause{50};
  static constexpr Milliseconds kLastPause{1000};
  // Time allowed for a read, besides its wait.
  static constexpr Milliseconds kLimit{700};
  static constexpr Milliseconds kNewestLimit{1500};

  boost::asio::awaitable<Result<RecordPage>> ReadPage() {
    if (!m_started) {
      Result<RecordPage> newest = co_await m_log->ReadNewest(
          m_topic, std::chrono::steady_clock::now() + kNewestLimit);
      co_return newest;
    }
    Result<RecordPage> page = co_await m_log->Read(m_topic, m_next, kLimit);
    co_return page;
  }

  boost::asio::steady_timer m_timer;
  std::string m_topic;
  std::shared_ptr<RelayedLog<Log>> m_log;
  Events m_events;
  TopicCache m_cache;
  std::uint64_t m_next = 0;
  bool m_started = false;
  bool m_closed = false;
};

}  // namespace snipehall
