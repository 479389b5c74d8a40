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

// Consumes a topic of the log: reads a snapshot of the newest record per key,
// then follows the topic from there. Takes a new snapshot if records expired
// before they were read, if a page does not reach the end of the topic, so that
// replaced records need not be read, or if the log was restored from an older
// copy. Retries failed reads with exponential backoff.
// Caches the records for instances that read the topic through this one.
template <RecordLog Log>
class TopicFollower {
 public:
  struct Handlers {
    // Called for each page. `whole` is true for a snapshot, which has all keys
    // of the topic.
    std::function<void(const RecordPage& page, bool whole)> on_page;
    // Called for each failed read, before the retry delay.
    std::function<void(const Error& error)> on_failure;
  };

  TopicFollower(const boost::asio::any_io_executor& executor,
                std::string topic,
                std::shared_ptr<RelayedLog<Log>> log,
                Handlers events)
      : m_timer(executor),
        m_topic(std::move(topic)),
        m_log(std::move(log)),
        m_events(std::move(events)) {}

  // Reads until Close() is called. The follower must outlive the call.
  boost::asio::awaitable<void> Run() {
    Milliseconds retry_delay = kInitialRetryDelay;
    while (!m_closed) {
      m_read_began_at = std::chrono::steady_clock::now();
      const Result<RecordPage> page = co_await ReadPage();
      if (m_closed) {
        break;
      }
      const bool lost = page.has_error()
                            ? page.error().code == ErrorCode::kNotFound
                            : page.value().era != m_position.era;
      if (lost && m_started) {
        m_started = false;
        continue;
      }
      if (page.has_error()) {
        m_events.on_failure(page.error());
        m_timer.expires_after(retry_delay);
        co_await m_timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        retry_delay = std::min(retry_delay * 2, kMaxRetryDelay);
        continue;
      }
      retry_delay = kInitialRetryDelay;
      const bool whole = !m_started || m_behind;
      if (whole) {
        m_cache.Reset(page.value());
      } else {
        m_cache.Add(page.value());
      }
      m_position = page.value().end();
      m_started = true;
      m_behind = page.value().has_more;
      m_events.on_page(page.value(), whole);
    }
  }

  const std::string& topic() const { return m_topic; }
  // Where the read in progress, or the last one, began in the topic and in
  // time, and where it was sent; see RelayedLog::source().
  TopicPosition position() const { return m_position; }
  MonotonicTime read_began_at() const { return m_read_began_at; }
  const std::string& source() const { return m_log->source(); }
  // The records read so far, for instances that read through this one.
  const TopicCache& cache() const { return m_cache; }

  // Stops Run() and cancels the read in progress.
  void Close() {
    m_closed = true;
    m_log->Close();
    m_timer.cancel();
  }

 private:
  // Exponential backoff after failed reads. The first delays are short because
  // a single lost response is the usual cause; the upper limit avoids
  // overloading the log during an outage.
  static constexpr Milliseconds kInitialRetryDelay{50};
  static constexpr Milliseconds kMaxRetryDelay{1000};
  // Time allowed for a read, in addition to its long-poll wait, until its
  // response begins.
  static constexpr Milliseconds kReadTimeout{700};
  // Time allowed for each response of a snapshot until it begins.
  static constexpr Milliseconds kReadNewestTimeout{1500};

  boost::asio::awaitable<Result<RecordPage>> ReadPage() {
    if (!m_started || m_behind) {
      // After a restore or the expiry of records, offsets may be lower.
      const TopicPosition min_end =
          m_started ? m_position : TopicPosition{m_position.era, 0};
      Result<RecordPage> newest =
          co_await m_log->ReadNewest(m_topic, min_end, kReadNewestTimeout);
      co_return newest;
    }
    Result<RecordPage> page =
        co_await m_log->Read(m_topic, m_position, kReadTimeout);
    co_return page;
  }

  boost::asio::steady_timer m_timer;
  std::string m_topic;
  std::shared_ptr<RelayedLog<Log>> m_log;
  Handlers m_events;
  TopicCache m_cache;
  // Where the next read begins.
  TopicPosition m_position;
  MonotonicTime m_read_began_at;
  // A snapshot was read, so `m_position` is valid.
  bool m_started = false;
  // The last page did not reach the end of the topic.
  bool m_behind = false;
  bool m_closed = false;
};

}  // namespace snipehall
