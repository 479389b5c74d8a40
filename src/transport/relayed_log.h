#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <string>
#include <utility>

#include "protocol/record_page_codec.h"
#include "transport/http_connection.h"
#include "transport/record_log.h"

namespace snipehall {

// Where an instance reads the log's records: from an instance of its
// availability zone, or from the log itself.
struct RelayChoice {
  // "address:port" of the other instance; empty for the log itself.
  std::string address;
  // Until then the log itself is read, since the other one has failed.
  MonotonicTime direct_until;
};

// A log whose records another instance passes on, so that one instance of a
// zone reads for all. Falls back to the log itself when the other instance
// does not answer, or its own reads are too old.
template <RecordLog Log>
class RelayedLog {
 public:
  // How long a read from the other instance waits for a record.
  static constexpr Milliseconds kRelayWait{700};
  // Time allowed for its answer besides.
  static constexpr Milliseconds kRelayLimit{300};
  // Age of the other instance's own read from which on it counts as cut off;
  // more than its reads of the log take in calm.
  static constexpr Milliseconds kMaxAge{1500};
  // Time without further tries after one failed.
  static constexpr Milliseconds kRelayPause{2000};

  struct Pace {
    // Least time between two reads of the log itself; then these do not wait.
    Milliseconds interval{0};
    // Otherwise, how long they wait.
    Milliseconds wait{0};
  };

  RelayedLog(const boost::asio::any_io_executor& executor,
             std::shared_ptr<Log> log,
             std::shared_ptr<RelayChoice> choice,
             Pace pace)
      : m_executor(executor),
        m_timer(executor),
        m_log(std::move(log)),
        m_choice(std::move(choice)),
        m_pace(pace) {}

  boost::asio::awaitable<Result<RecordPage>> ReadNewest(
      std::string topic,
      MonotonicTime deadline) {
    Result<RecordPage> page =
        co_await m_log->ReadNewest(std::move(topic), deadline);
    co_return page;
  }

  // Waits as its pace says. Ends `limit` after that at the latest, or, from
  // another instance, after kRelayWait and kRelayLimit.
  boost::asio::awaitable<Result<RecordPage>> Read(std::string topic,
                                                  std::uint64_t from,
                                                  Milliseconds limit) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (!m_choice->address.empty() && now >= m_choice->direct_until) {
      Result<RecordPage> page = co_await ReadRelay(topic, from);
      if (page || m_closed) {
        co_return page;
      }
      m_choice->direct_until = std::chrono::steady_clock::now() + kRelayPause;
    }
    if (m_pace.interval.count() > 0) {
      m_timer.expires_at(m_direct_at + m_pace.interval);
      co_await m_timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    m_direct_at = std::chrono::steady_clock::now();
    const Milliseconds wait =
        m_pace.interval.count() > 0 ? Milliseconds(0) : m_pace.wait;
    Result<RecordPage> page = co_await m_log->Read(std::move(topic), from, wait,
                                                   m_direct_at + wait + limit);
    co_return page;
  }

  void Close() {
    m_closed = true;
    m_log->Close();
    m_timer.cancel();
    if (m_relay) {
      m_relay->Close();
    }
  }

 private:
  // Longest answer of the other instance, bytes.
  static constexpr std::size_t kAnswerLimit = std::size_t{4} << 20;

  boost::asio::awaitable<Result<RecordPage>> ReadRelay(const std::string& topic,
                                                       std::uint64_t from) {
    if (!m_relay || m_relay->address() != m_choice->address) {
      m_relay = std::make_shared<HttpConnection>(m_executor, m_choice->address,
                                                 kAnswerLimit);
    }
    const std::shared_ptr<HttpConnection> relay = m_relay;
    HttpCall call;
    call.path = "/records?topic=" + topic + "&from=" + std::to_string(from) +
                "&wait_ms=" + std::to_string(kRelayWait.count());
    const Result<HttpReply> reply = co_await relay->Exchange(
        std::move(call),
        std::chrono::steady_clock::now() + kRelayWait + kRelayLimit);
    if (!reply) {
      co_return reply.error();
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (reply.value().status != 200) {
      co_return Fail(ErrorCode::kUnavailable, "the other instance refused");
    }
    Result<RecordPage> page = DecodeRecordPage(reply.value().body, now);
    if (page && now - page.value().answered > kMaxAge) {
      co_return Fail(ErrorCode::kUnavailable,
                     "the other instance is cut off from the log");
    }
    co_return page;
  }

  boost::asio::any_io_executor m_executor;
  boost::asio::steady_timer m_timer;
  std::shared_ptr<Log> m_log;
  std::shared_ptr<RelayChoice> m_choice;
  Pace m_pace;
  std::shared_ptr<HttpConnection> m_relay;
  MonotonicTime m_direct_at;
  bool m_closed = false;
};

}  // namespace snipehall
