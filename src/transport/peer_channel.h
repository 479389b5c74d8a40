#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "coordination/messages.h"
#include "state/result.h"
#include "state/ring.h"
#include "state/types.h"

namespace snipehall {

// Messages from the control thread to the link thread.

// The answer to the heartbeat that a peer sent as call `call`.
struct HeartbeatReply {
  std::uint64_t call = 0;
  Heartbeat heartbeat;
};

// The answer to a peer's request for records.
struct RecordsReply {
  std::uint64_t call = 0;
  std::vector<LogEntry> entries;
};

using ToLinks =
    std::variant<SendHeartbeat, FetchRecords, HeartbeatReply, RecordsReply>;

// Messages from the link thread to the control thread.

// A heartbeat from a peer, which waits for the reply.
struct HeartbeatCall {
  std::uint64_t call = 0;
  Heartbeat heartbeat;
};

// A peer asks for the records from `from` on.
struct RecordsCall {
  std::uint64_t call = 0;
  LogOffset from = 1;
};

// A peer's answer to a heartbeat that was sent at `sent`.
struct HeartbeatAnswer {
  MonotonicTime sent;
  Heartbeat heartbeat;
};

// Records that a peer sent on request.
struct RecordsAnswer {
  std::vector<LogEntry> entries;
};

using ToControl =
    std::variant<HeartbeatCall, RecordsCall, HeartbeatAnswer, RecordsAnswer>;

// Joins the control thread and the link thread by two bounded rings. A message
// that finds its ring full is dropped; heartbeats are sent again soon, and a
// call that waits for a reply ends by its deadline.
class PeerChannel {
 public:
  using OnMessage = std::function<void(ToControl&)>;

  // `on_message` is called on `control`, until Close().
  static Result<std::shared_ptr<PeerChannel>> Create(
      std::size_t capacity,
      boost::asio::any_io_executor control,
      OnMessage on_message);

  ~PeerChannel();

  PeerChannel(const PeerChannel&) = delete;
  PeerChannel& operator=(const PeerChannel&) = delete;

  // On the control thread. Returns whether there was room.
  bool PushToLinks(ToLinks message);

  // On the control thread, or after its loop has ended.
  void Close() { m_closed = true; }

  // Readable when the link thread has to look for messages.
  int wake_fd() const { return m_wake_fd; }
  void Wake();

  // On the link thread: makes wake_fd() unreadable again.
  void ClearWake();
  // On the link thread.
  std::optional<ToLinks> PopForLinks() { return m_to_links.Pop(); }
  // On the link thread. Returns whether there was room.
  static bool PushToControl(const std::shared_ptr<PeerChannel>& channel,
                            ToControl message);

  // Messages dropped because a ring was full.
  std::uint64_t dropped() const { return m_dropped; }

 private:
  PeerChannel(std::size_t capacity,
              boost::asio::any_io_executor control,
              OnMessage on_message,
              int wake_fd);

  void DeliverToControl();

  Ring<ToLinks> m_to_links;
  Ring<ToControl> m_to_control;
  boost::asio::any_io_executor m_control;
  OnMessage m_on_message;
  int m_wake_fd;
  std::atomic<bool> m_delivery_scheduled = false;
  std::atomic<std::uint64_t> m_dropped = 0;
  bool m_closed = false;
};

}  // namespace snipehall
