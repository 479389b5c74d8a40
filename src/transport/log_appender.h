#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "transport/platform_clients.h"
#include "transport/spawn.h"

namespace snipehall {

// Appends records to the log and retries until each has been read back from the
// log or its deadline has passed. If the outcome of an append is unknown, the
// record is resent only after a read that was sent after the failure reached
// the end of the log without returning the record. A duplicate in the log is
// harmless: applying it has no effect, because its `based_on` is no longer the
// current version. All functions must be called on the thread of the executor.
template <LogClient Client>
class LogAppender {
 public:
  struct Limits {
    // Records that have not been read back yet. Append() rejects more.
    std::size_t max_pending_records = 256;
    // Append calls in progress at the same time.
    std::size_t max_concurrent_appends = 4;
    // Timeout of one append call. May end after the record's deadline, since a
    // slow log may still respond.
    Milliseconds append_timeout{2000};
    // Delay before a retry after a refused connection.
    Milliseconds retry_delay{50};
  };

  // Called when the log rejected the record permanently.
  using OnRejected = std::function<void(std::string_view id, const Error&)>;

  // `client` must outlive the appender.
  LogAppender(boost::asio::any_io_executor executor,
              Client* client,
              Limits limits,
              OnRejected on_rejected)
      : m_executor(std::move(executor)),
        m_client(client),
        m_limits(limits),
        m_on_rejected(std::move(on_rejected)) {}

  // Queues the encoded record `data` with the unique `id` for appending. Has no
  // effect if a record with this id is already queued. Returns false if too
  // many records are queued.
  bool Append(std::string_view id,
              std::string_view data,
              MonotonicTime deadline) {
    if (Find(id) != nullptr) {
      return true;
    }
    if (m_entries.size() >= m_limits.max_pending_records) {
      return false;
    }
    auto entry = std::make_shared<Entry>();
    entry->id = id;
    entry->data = data;
    entry->deadline = deadline;
    m_entries.push_back(std::move(entry));
    SendPending(Now());
    return true;
  }

  // To be called when the record with `id` was read from the log. Stops
  // retrying it.
  void OnRecordRead(std::string_view id) {
    std::erase_if(m_entries,
                  [id](const auto& entry) { return entry->id == id; });
  }

  // To be called when a read that was sent at `read_sent_at` reached the end of
  // the log, after OnRecordRead() was called for each of its records. Resends
  // records whose append failed before that time and that were not read.
  void OnCaughtUp(MonotonicTime read_sent_at) {
    for (const auto& entry : m_entries) {
      if (entry->state == State::kUncertain &&
          read_sent_at > entry->not_before) {
        entry->state = State::kPending;
      }
    }
    SendPending(Now());
  }

  // Drops records whose deadline has passed and sends those that are due. To be
  // called periodically.
  void Tick(MonotonicTime now) {
    std::erase_if(m_entries, [now](const auto& entry) {
      return entry->deadline <= now && entry->state != State::kSending;
    });
    SendPending(now);
  }

  // Stops sending records.
  void Stop() { m_stopped = true; }

  // Whether the record with `id` is queued and may have reached the log.
  bool MayBeAppended(std::string_view id) const {
    const Entry* entry = Find(id);
    return entry != nullptr && entry->sent;
  }

  // Number of queued records.
  std::size_t size() const { return m_entries.size(); }

 private:
  enum class State {
    kPending,    // Not sent, or known not to be in the log.
    kSending,    // An append call is in progress.
    kUncertain,  // The call failed; the log may contain the record.
    kAppended,   // The log confirmed the append; not read back yet.
  };

  struct Entry {
    std::string id;
    std::string data;
    MonotonicTime deadline;
    State state = State::kPending;
    // Time of the last failure; for a pending entry, time of the next call.
    MonotonicTime not_before;
    // Whether a call may have delivered the record to the log.
    bool sent = false;
  };

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  const Entry* Find(std::string_view id) const {
    const auto found =
        std::find_if(m_entries.begin(), m_entries.end(),
                     [id](const auto& entry) { return entry->id == id; });
    return found == m_entries.end() ? nullptr : found->get();
  }

  void SendPending(MonotonicTime now) {
    for (const auto& entry : m_entries) {
      if (m_stopped ||
          m_appends_in_progress >= m_limits.max_concurrent_appends) {
        return;
      }
      if (entry->state != State::kPending || entry->not_before > now ||
          entry->deadline <= now) {
        continue;
      }
      entry->state = State::kSending;
      ++m_appends_in_progress;
      Spawn(m_executor, Send(entry));
    }
  }

  boost::asio::awaitable<void> Send(std::shared_ptr<Entry> entry) {
    const bool sent_before = std::exchange(entry->sent, true);
    const Result<LogOffset> offset =
        co_await m_client->Append(entry->data, Now() + m_limits.append_timeout);
    --m_appends_in_progress;
    if (offset.has_value()) {
      entry->state = State::kAppended;
    } else {
      OnAppendFailure(*entry, offset.error(), sent_before);
    }
    SendPending(Now());
  }

  void OnAppendFailure(Entry& entry, const Error& error, bool sent_before) {
    entry.not_before = Now();
    if (error.code == ErrorCode::kRefused) {
      entry.sent = sent_before;
      entry.state = State::kPending;
      entry.not_before += m_limits.retry_delay;
      return;
    }
    entry.state = State::kUncertain;
    if (error.code == ErrorCode::kInvalidArgument) {
      const std::string id = entry.id;
      OnRecordRead(id);
      m_on_rejected(id, error);
    }
  }

  boost::asio::any_io_executor m_executor;
  Client* m_client;
  Limits m_limits;
  OnRejected m_on_rejected;
  std::vector<std::shared_ptr<Entry>> m_entries;
  std::size_t m_appends_in_progress = 0;
  bool m_stopped = false;
};

}  // namespace snipehall
