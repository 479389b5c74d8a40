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

#include "transport/platform.h"
#include "transport/spawn.h"

namespace snipehall {

// Appends records to the log, each until it was read back; none is sent after
// its deadline. When the outcome of an append is not known, the record is sent
// again only after a read that began after the failure has reached the end of
// the log without showing it. A record that is in the log twice does no harm:
// the fold ignores the second, because its `based_on` is no longer current.
template <LogClient Client>
class LogAppender {
 public:
  struct Limits {
    // Records that are not read back yet. Append() refuses more.
    std::size_t records = 256;
    // Appends in progress at a time.
    std::size_t parallel = 4;
    // Time after which one append is given up, also beyond the record's
    // deadline: a slow log may still be about to answer.
    Milliseconds call{2000};
    // Pause after a refused connection.
    Milliseconds pause{50};
  };

  // Called when the log will never take the record.
  using OnRejected = std::function<void(std::string_view id, const Error&)>;

  // `client` outlives the appender.
  LogAppender(boost::asio::any_io_executor executor,
              Client* client,
              Limits limits,
              OnRejected on_rejected)
      : m_executor(std::move(executor)),
        m_client(client),
        m_limits(limits),
        m_on_rejected(std::move(on_rejected)) {}

  // Takes the encoded record with the unique `id`. One that was taken before
  // is not taken twice. Returns false when too many are waiting.
  bool Append(std::string_view id,
              std::string_view data,
              MonotonicTime deadline) {
    if (Find(id) != nullptr) {
      return true;
    }
    if (m_entries.size() >= m_limits.records) {
      return false;
    }
    auto entry = std::make_shared<Entry>();
    entry->id = id;
    entry->data = data;
    entry->deadline = deadline;
    m_entries.push_back(std::move(entry));
    Pump(Now());
    return true;
  }

  // The record was read in the log.
  void OnSeen(std::string_view id) {
    std::erase_if(m_entries,
                  [id](const auto& entry) { return entry->id == id; });
  }

  // A read that was sent at `began` reached the end of the log, and all its
  // records were reported by OnSeen() before.
  void OnCaughtUp(MonotonicTime began) {
    for (const auto& entry : m_entries) {
      if (entry->state == State::kUncertain && began > entry->not_before) {
        entry->state = State::kWaiting;
      }
    }
    Pump(Now());
  }

  // Gives up records whose deadline has passed, and sends those that are due.
  // Called regularly.
  void Tick(MonotonicTime now) {
    std::erase_if(m_entries, [now](const auto& entry) {
      return entry->deadline <= now && entry->state != State::kSending;
    });
    Pump(now);
  }

  // Sends no more.
  void Stop() { m_stopped = true; }

  // Whether the record with `id` may have reached the log.
  bool MayBeAppended(std::string_view id) const {
    const Entry* entry = Find(id);
    return entry != nullptr && entry->sent;
  }

  std::size_t size() const { return m_entries.size(); }

 private:
  enum class State {
    kWaiting,    // Not sent, or known not to be in the log.
    kSending,    // A call is in progress.
    kUncertain,  // The call failed in a way that tells nothing.
    kAppended,   // The log has answered; the record is still to be read back.
  };

  struct Entry {
    std::string id;
    std::string data;
    MonotonicTime deadline;
    State state = State::kWaiting;
    // Time of the last failure; for a waiting entry, time of the next call.
    MonotonicTime not_before;
    bool sent = false;
  };

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  const Entry* Find(std::string_view id) const {
    const auto found =
        std::find_if(m_entries.begin(), m_entries.end(),
                     [id](const auto& entry) { return entry->id == id; });
    return found == m_entries.end() ? nullptr : found->get();
  }

  void Pump(MonotonicTime now) {
    for (const auto& entry : m_entries) {
      if (m_stopped || m_sending >= m_limits.parallel) {
        return;
      }
      if (entry->state != State::kWaiting || entry->not_before > now ||
          entry->deadline <= now) {
        continue;
      }
      entry->state = State::kSending;
      ++m_sending;
      Spawn(m_executor, Send(entry));
    }
  }

  boost::asio::awaitable<void> Send(std::shared_ptr<Entry> entry) {
    const bool sent_before = std::exchange(entry->sent, true);
    const Result<LogOffset> offset =
        co_await m_client->Append(entry->data, Now() + m_limits.call);
    --m_sending;
    if (offset.has_value()) {
      entry->state = State::kAppended;
    } else {
      OnFailure(*entry, offset.error(), sent_before);
    }
    Pump(Now());
  }

  void OnFailure(Entry& entry, const Error& error, bool sent_before) {
    entry.not_before = Now();
    if (error.code == ErrorCode::kRefused) {
      entry.sent = sent_before;
      entry.state = State::kWaiting;
      entry.not_before += m_limits.pause;
      return;
    }
    entry.state = State::kUncertain;
    if (error.code == ErrorCode::kInvalidArgument) {
      const std::string id = entry.id;
      OnSeen(id);
      m_on_rejected(id, error);
    }
  }

  boost::asio::any_io_executor m_executor;
  Client* m_client;
  Limits m_limits;
  OnRejected m_on_rejected;
  std::vector<std::shared_ptr<Entry>> m_entries;
  std::size_t m_sending = 0;
  bool m_stopped = false;
};

}  // namespace snipehall
