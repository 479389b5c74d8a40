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

// The source from which an instance reads log records: another instance of its
// availability zone (the relay), or the log directly. Shared by the RelayedLogs
// of all topics.
struct RelaySelection {
  // "address:port" of the relay; empty to read the log directly. Set by the
  // owner of the RelayedLogs when the leader chooses another relay.
  std::string address;
  // The log is read directly until this time because a read through the relay
  // has failed. Set by RelayedLog; reset when `address` changes.
  MonotonicTime direct_until;
};

// Reads the log through a relay instance, so that only one instance of an
// availability zone reads each topic from the log, on behalf of all instances
// of the zone. Reads directly if the relay does not respond or its own last
// response from the log is too old. Supports one read at a time.
template <RecordLog Log>
class RelayedLog {
 public:
  // Bounds of the long-poll wait of a read through the relay.
  static constexpr Milliseconds kMaxRelayLongPollWait{700};
  static constexpr Milliseconds kMinRelayLongPollWait{100};
  // Time allowed for the relay's response in addition to the long-poll wait.
  static constexpr Milliseconds kRelayResponseMargin{300};
  // Maximum time since the log last responded to the relay. A longer time means
  // that the relay has lost its connection to the log. In normal operation the
  // relay's reads of the log, including their long-poll wait, take less.
  static constexpr Milliseconds kMaxRelayAge{1500};
  // Maximum time since the log is known to have responded, to this instance or
  // to its relay, at the end of a read through the relay. A change must be
  // known two seconds after the log has accepted it, and a direct read follows.
  static constexpr Milliseconds kMaxKnownAge{1900};
  // Time for which the relay is not used after a failed read through it.
  static constexpr Milliseconds kRelayRetryDelay{2000};

  // Schedule of direct reads.
  struct ReadSchedule {
    // Minimum interval between direct reads. If it is not zero, direct reads do
    // not long-poll.
    Milliseconds interval{0};
    // Long-poll wait of direct reads if `interval` is zero.
    Milliseconds wait{0};
  };

  RelayedLog(const boost::asio::any_io_executor& executor,
             std::shared_ptr<Log> log,
             std::shared_ptr<RelaySelection> relay_selection,
             ReadSchedule schedule)
      : m_executor(executor),
        m_timer(executor),
        m_log(std::move(log)),
        m_relay_selection(std::move(relay_selection)),
        m_schedule(schedule) {}

  // Returns a snapshot of `topic` with the newest record of each key, up to
  // `min_end` at least or in a later era. First tries the relay, if there is
  // one, whose response has to begin within kRelayResponseMargin, then reads
  // directly, with `limit`. Fails with kUnavailable if the topic still ends
  // before.
  boost::asio::awaitable<Result<RecordPage>> ReadNewest(std::string topic,
                                                        TopicPosition min_end,
                                                        Milliseconds limit) {
    if (CanUseRelay()) {
      Result<RecordPage> page = co_await ReadFromRelay(
          "/records?topic=" + topic, min_end, kRelayResponseMargin);
      if (page || m_closed) {
        co_return page;
      }
    }
    m_source.clear();
    Result<RecordPage> page = co_await m_log->ReadNewest(
        std::move(topic), std::chrono::steady_clock::now() + limit);
    if (page && EndsBefore(page.value(), min_end)) {
      co_return Fail(ErrorCode::kUnavailable,
                     "the log ends at an earlier time");
    }
    RecordResponse(page);
    co_return page;
  }

  // Returns the next records of `topic` from `from` on, or an empty page if
  // none is added during the long-poll wait. The page is of a later era if the
  // log was restored, and is then no continuation of `from`. First tries the
  // relay, whose response has to begin within the time that kMaxKnownAge
  // leaves, at least kMinRelayLongPollWait + kRelayResponseMargin. If there is
  // no relay or that fails, waits until a direct read is due by
  // ReadSchedule::interval and then reads directly; the response has to begin
  // within the long-poll wait plus `limit`.
  boost::asio::awaitable<Result<RecordPage>> Read(std::string topic,
                                                  TopicPosition from,
                                                  Milliseconds limit) {
    if (CanUseRelay()) {
      const Milliseconds relay_wait = RelayLongPollWait();
      Result<RecordPage> page = co_await ReadFromRelay(
          "/records?topic=" + topic + "&era=" + std::to_string(from.era) +
              "&from=" + std::to_string(from.offset) +
              "&wait_ms=" + std::to_string(relay_wait.count()),
          from, relay_wait + kRelayResponseMargin);
      if (page || m_closed) {
        co_return page;
      }
      m_relay_selection->direct_until =
          std::chrono::steady_clock::now() + kRelayRetryDelay;
    }
    if (m_schedule.interval.count() > 0) {
      m_timer.expires_at(m_last_direct_read + m_schedule.interval);
      co_await m_timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    m_last_direct_read = std::chrono::steady_clock::now();
    m_source.clear();
    const Milliseconds wait =
        m_schedule.interval.count() > 0 ? Milliseconds(0) : m_schedule.wait;
    Result<RecordPage> page = co_await m_log->Read(
        std::move(topic), from.offset, wait, m_last_direct_read + wait + limit);
    if (page && page.value().era < from.era) {
      co_return Fail(ErrorCode::kUnavailable, "the log is in an earlier era");
    }
    RecordResponse(page);
    co_return page;
  }

  // Where the last read was sent: the address of the relay, or empty for the
  // log itself.
  const std::string& source() const { return m_source; }

  // Cancels the exchange in progress with the relay or the log. A read that
  // waits for its interval is sent at once. Do not call Read() afterwards.
  void Close() {
    m_closed = true;
    m_log->Close();
    m_timer.cancel();
    if (m_relay) {
      m_relay->Close();
    }
  }

 private:
  // Maximum response body size accepted from the relay.
  static constexpr std::size_t kMaxResponseBytes = std::size_t{4} << 20;

  bool CanUseRelay() const {
    return !m_relay_selection->address.empty() &&
           std::chrono::steady_clock::now() >= m_relay_selection->direct_until;
  }

  // Long-poll wait of the next read through the relay. The older the known
  // records are, the shorter it is, since the relay may have lost the log or
  // may not respond at all.
  Milliseconds RelayLongPollWait() const {
    const auto time_left = std::chrono::duration_cast<Milliseconds>(
        m_known_at + kMaxKnownAge - std::chrono::steady_clock::now());
    return std::clamp(time_left - kRelayResponseMargin, kMinRelayLongPollWait,
                      kMaxRelayLongPollWait);
  }

  void RecordResponse(const Result<RecordPage>& page) {
    if (page) {
      m_known_at = std::max(m_known_at, page.value().received_at);
    }
  }

  static bool EndsBefore(const RecordPage& page, TopicPosition position) {
    return page.era < position.era ||
           (page.era == position.era && page.end_offset < position.offset);
  }

  // Requests `path` from the relay, whose response has to begin within `limit`.
  // Fails if its records end before `min_end`.
  boost::asio::awaitable<Result<RecordPage>>
  ReadFromRelay(std::string path, TopicPosition min_end, Milliseconds limit) {
    if (!m_relay || m_relay->address() != m_relay_selection->address) {
      m_relay = std::make_shared<HttpConnection>(
          m_executor, m_relay_selection->address, kMaxResponseBytes);
    }
    const std::shared_ptr<HttpConnection> relay = m_relay;
    m_source = relay->address();
    HttpClientRequest call;
    call.path = std::move(path);
    const MonotonicTime deadline = std::chrono::steady_clock::now() + limit;
    call.transfer_deadline = deadline + kMaxTransferTime;
    const Result<HttpClientResponse> response =
        co_await relay->Exchange(std::move(call), deadline);
    if (!response) {
      co_return response.error();
    }
    if (response.value().status != 200) {
      co_return Fail(ErrorCode::kUnavailable,
                     "the relay instance rejected the read");
    }
    // The relay states the age of its records when it begins to respond; the
    // transfer may take a while.
    const MonotonicTime began_at = response.value().began_at;
    Result<RecordPage> page = DecodeRecordPage(response.value().body, began_at);
    const auto age =
        ParseRecordsAge(response.value().Header(kRecordsAgeHeader));
    if (page && age) {
      page.value().received_at = began_at - *age;
      page.value().sent_at = page.value().received_at;
    }
    if (page) {
      page.value().size_bytes = response.value().body.size();
    }
    if (page && (began_at - page.value().received_at > kMaxRelayAge ||
                 EndsBefore(page.value(), min_end))) {
      co_return Fail(ErrorCode::kUnavailable,
                     "the relay instance has lost its connection to the log");
    }
    RecordResponse(page);
    co_return page;
  }

  boost::asio::any_io_executor m_executor;
  boost::asio::steady_timer m_timer;
  std::shared_ptr<Log> m_log;
  std::shared_ptr<RelaySelection> m_relay_selection;
  ReadSchedule m_schedule;
  std::shared_ptr<HttpConnection> m_relay;
  std::string m_source;
  MonotonicTime m_last_direct_read;
  // When the log last responded, to this instance or to its relay, as far as
  // this instance knows.
  MonotonicTime m_known_at;
  bool m_closed = false;
};

}  // namespace snipehall
