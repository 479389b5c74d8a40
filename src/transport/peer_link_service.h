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

// The links between instances, by Cap'n Proto RPC on a thread with an event
// loop of its own. All functions are called on the control thread.
class PeerLinkService {
 public:
  // Called on the control thread, until the service is destroyed.
  struct Handlers {
    // Answers a peer's heartbeat with the own one, as of now.
    std::function<Heartbeat(const Heartbeat&)> answer_heartbeat;
    // Answers a peer's request for records.
    std::function<std::vector<LogEntry>(LogOffset from)> records_from;
    // A peer answered a heartbeat that was sent at `sent` or later.
    std::function<void(MonotonicTime sent, const Heartbeat&)>
        on_heartbeat_answer;
    // Records that Send(FetchRecords) asked for.
    std::function<void(std::span<const LogEntry>)> on_records;
  };

  // Binds the listener at `address` ("IP-number:port", where port 0 lets the
  // system choose) and starts the thread.
  static Result<std::unique_ptr<PeerLinkService>> Start(
      const std::string& address,
      boost::asio::any_io_executor control,
      PeerLimits limits,
      Handlers handlers);

  // Ends the thread.
  ~PeerLinkService();

  PeerLinkService(const PeerLinkService&) = delete;
  PeerLinkService& operator=(const PeerLinkService&) = delete;

  // Address of the listener, with the port that was chosen.
  const std::string& address() const { return m_address; }

  // Sends one heartbeat or request, unless one is in progress to that peer.
  void Send(SendHeartbeat action);
  void Send(FetchRecords action);

  // Messages dropped because a ring was full.
  std::uint64_t dropped() const { return m_channel->dropped(); }

 private:
  explicit PeerLinkService(Handlers handlers);

  void OnMessage(ToControl& message);
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
