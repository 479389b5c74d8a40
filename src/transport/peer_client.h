#pragma once

#include <kj/async-io.h>
#include <kj/async.h>

#include <map>
#include <memory>
#include <string>

#include "transport/peer_channel.h"
#include "transport/peer_limits.h"

namespace snipehall {

// Calls peers from the link thread, on connections that are made on demand and
// given up after a failed call. One heartbeat and one request for records are
// in progress to each peer at a time; others are dropped.
class PeerClient final : private kj::TaskSet::ErrorHandler {
 public:
  PeerClient(kj::Timer& timer,
             kj::Network& network,
             std::shared_ptr<PeerChannel> channel,
             PeerLimits limits);
  ~PeerClient() noexcept(false);

  KJ_DISALLOW_COPY(PeerClient);

  void Send(const SendHeartbeat& action);
  void Send(const FetchRecords& action);

 private:
  struct Connection;
  struct Peer;

  Peer& FindPeer(const InstanceId& id, const std::string& address);
  kj::Promise<kj::Own<Connection>> Connect(const std::string& address);
  kj::Promise<void> Heartbeat(Peer& peer, snipehall::Heartbeat heartbeat);
  kj::Promise<void> Fetch(const std::string& address, LogOffset from);
  void CloseIdle();
  void taskFailed(kj::Exception&& exception) override;

  kj::Timer& m_timer;
  kj::Network& m_network;
  std::shared_ptr<PeerChannel> m_channel;
  PeerLimits m_limits;
  std::map<InstanceId, kj::Own<Peer>> m_peers;
  // Last, so that no task outlives what it refers to.
  kj::TaskSet m_tasks;
};

}  // namespace snipehall
