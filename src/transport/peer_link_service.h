#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "coordination/messages.h"
#include "state/result.h"
#include "transport/peer_channel.h"
#include "transport/peer_limits.h"

namespace snipehall {

// Exchanges heartbeats and log records with other instances by Cap'n Proto RPC.
// Client and server run on a dedicated link thread with a KJ event loop. All
// functions must be called on the control thread, or while its event loop does
// not run.
class PeerLinkService {
 public:
  // Called on the control thread, not after the service is destroyed.
  struct Handlers {
    // Returns this instance's current heartbeat as the reply to a peer's.
    std::function<Heartbeat(const Heartbeat&)> make_heartbeat_reply;
    // Returns the log records from offset `from` on as the reply to a peer.
    std::function<std::vector<LogEntry>(LogOffset from)> read_records;
    // Called with a peer's response to a heartbeat that was sent at `sent_at`
    // or later.
    std::function<void(MonotonicTime sent_at, const Heartbeat&)>
        on_heartbeat_response;
    // Called with the records that Send(FetchRecords) requested.
    std::function<void(std::span<const LogEntry>)> on_records;
  };

  // Binds the listener to `address` ("IP-number:port", where port 0 lets the
  // system choose) and starts the link thread. Handlers are called on the
  // executor `control`. Fails when the address is malformed or cannot be bound.
  static Result<std::unique_ptr<PeerLinkService>> Start(
      const std::string& address,
      boost::asio::any_io_executor control,
      PeerLimits limits,
      Handlers handlers);

  // Stops and joins the link thread.
  ~PeerLinkService();

  PeerLinkService(const PeerLinkService&) = delete;
  PeerLinkService& operator=(const PeerLinkService&) = delete;

  // Address of the listener, with the port that the system chose.
  const std::string& address() const { return m_address; }

  // Sends a heartbeat or a request for records, unless one of the same kind is
  // in progress to that peer or the queue to the link thread is full.
  void Send(SendHeartbeat action);
  void Send(FetchRecords action);

  // Number of messages dropped because a queue was full.
  std::uint64_t dropped() const { return m_channel->dropped(); }

 private:
  explicit PeerLinkService(Handlers handlers);

  void OnMessage(ControlThreadMessage& message);
  void Run(const std::string& address,
           PeerLimits limits,
           std::function<void(Result<std::string>)> on_listening);

  Handlers m_handlers;
  std::shared_ptr<PeerChannel> m_channel;
  std::string m_address;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

}  // namespace snipehall
