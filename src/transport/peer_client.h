#pragma once

#include <kj/async-io.h>
#include <kj/async.h>

#include <map>
#include <memory>
#include <string>

#include "transport/peer_channel.h"
#include "transport/peer_limits.h"

namespace snipehall {

// RPC client that sends heartbeats and requests for log records to peers.
// Connects on demand and closes the connection after a failed call. At most one
// heartbeat and one request for records are in progress to each peer; further
// ones are dropped. Passes the responses to the control thread through the
// channel. Used on the link thread only.
class PeerClient final : private kj::TaskSet::ErrorHandler {
 public:
  // `timer` and `network` must outlive the client.
  PeerClient(kj::Timer& timer,
             kj::Network& network,
             std::shared_ptr<PeerChannel> channel,
             PeerLimits limits);
  ~PeerClient() noexcept(false);

  KJ_DISALLOW_COPY(PeerClient);

  // Starts the call, unless one of the same kind is in progress to that peer.
  void Send(const SendHeartbeat& action);
  void Send(const FetchRecords& action);

 private:
  struct Connection;
  struct Peer;

  Peer& FindOrAddPeer(const InstanceId& id, const std::string& address);
  kj::Promise<kj::Own<Connection>> Connect(const std::string& address);
  kj::Promise<void> RequestHeartbeat(Peer& peer,
                                     snipehall::Heartbeat heartbeat);
  kj::Promise<void> RequestRecords(const std::string& address, LogOffset from);
  void RemoveIdlePeers();
  void taskFailed(kj::Exception&& exception) override;

  kj::Timer& m_timer;
  kj::Network& m_network;
  std::shared_ptr<PeerChannel> m_channel;
  PeerLimits m_limits;
  std::map<InstanceId, kj::Own<Peer>> m_peers;
  // Declared last, so that tasks are cancelled before the members that they use
  // are destroyed.
  kj::TaskSet m_tasks;
};

}  // namespace snipehall
