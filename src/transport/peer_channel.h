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
#include "state/spsc_queue.h"
#include "state/types.h"

namespace snipehall {

// Messages from the control thread to the link thread.

// Reply to the HeartbeatRequest with the same `call_id`.
struct HeartbeatReply {
  std::uint64_t call_id = 0;
  Heartbeat heartbeat;
};

// Reply to the RecordsRequest with the same `call_id`.
struct RecordsReply {
  std::uint64_t call_id = 0;
  std::vector<LogEntry> entries;
};

using LinkThreadMessage =
    std::variant<SendHeartbeat, FetchRecords, HeartbeatReply, RecordsReply>;

// Messages from the link thread to the control thread.

// A heartbeat from a peer, which waits for a HeartbeatReply.
struct HeartbeatRequest {
  std::uint64_t call_id = 0;
  Heartbeat heartbeat;
};

// A peer's request for log records from offset `from` on, which waits for a
// RecordsReply.
struct RecordsRequest {
  std::uint64_t call_id = 0;
  LogOffset from = 1;
};

// A peer's response to a heartbeat that this instance sent at `sent_at`.
struct ReceivedHeartbeatResponse {
  MonotonicTime sent_at;
  Heartbeat heartbeat;
};

// A peer's response to a request for log records from this instance.
struct ReceivedRecordsResponse {
  std::vector<LogEntry> entries;
};

using ControlThreadMessage = std::variant<HeartbeatRequest,
                                          RecordsRequest,
                                          ReceivedHeartbeatResponse,
                                          ReceivedRecordsResponse>;

// Passes messages between the control thread and the link thread through two
// bounded single-producer single-consumer queues. A message is dropped when its
// queue is full. That is safe: heartbeats are sent periodically, and a call
// that waits for a reply times out.
class PeerChannel {
 public:
  using OnMessage = std::function<void(ControlThreadMessage&)>;

  // `capacity` is the number of messages in each queue. `on_message` is called
  // on the executor `control` for each message to the control thread, until
  // Close(). Fails when the system provides no eventfd.
  static Result<std::shared_ptr<PeerChannel>> Create(
      std::size_t capacity,
      boost::asio::any_io_executor control,
      OnMessage on_message);

  ~PeerChannel();

  PeerChannel(const PeerChannel&) = delete;
  PeerChannel& operator=(const PeerChannel&) = delete;

  // Queues a message for the link thread and wakes it. Returns false if the
  // queue is full. Call on the control thread.
  bool PushToLinkThread(LinkThreadMessage message);

  // Discards all further messages to the control thread. Call on the control
  // thread, or after its event loop has ended.
  void Close() { m_closed = true; }

  // Eventfd that becomes readable when the link thread has to process messages.
  int wake_fd() const { return m_wake_fd; }

  // Makes wake_fd() readable. Callable on any thread.
  void Wake();

  // Makes wake_fd() unreadable again. Call on the link thread.
  void ClearWakeup();

  // Returns the next message for the link thread, if any. Call on the link
  // thread.
  std::optional<LinkThreadMessage> PopOnLinkThread() {
    return m_link_thread_queue.TryPop();
  }

  // Queues a message for the control thread. Returns false if the queue is
  // full. Call on the link thread.
  static bool PushToControlThread(const std::shared_ptr<PeerChannel>& channel,
                                  ControlThreadMessage message);

  // Number of messages dropped because a queue was full.
  std::uint64_t dropped() const { return m_dropped; }

 private:
  PeerChannel(std::size_t capacity,
              boost::asio::any_io_executor control,
              OnMessage on_message,
              int wake_fd);

  void DeliverToControlThread();

  SpscQueue<LinkThreadMessage> m_link_thread_queue;
  SpscQueue<ControlThreadMessage> m_control_thread_queue;
  boost::asio::any_io_executor m_control_executor;
  OnMessage m_on_message;
  int m_wake_fd;
  std::atomic<bool> m_delivery_scheduled = false;
  std::atomic<std::uint64_t> m_dropped = 0;
  bool m_closed = false;
};

}  // namespace snipehall
