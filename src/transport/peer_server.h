#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async.h>

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "protocol/peer.capnp.h"
#include "transport/peer_limits.h"
#include "transport/pending_peer_calls.h"

namespace snipehall {

// RPC server for calls from peers. Forwards each call to the control thread and
// sends the control thread's reply to the peer. Used on the link thread only.
class PeerServer final : private kj::TaskSet::ErrorHandler {
 public:
  // Starts accepting connections from `receiver`. `timer` must outlive the
  // server.
  PeerServer(kj::Timer& timer,
             kj::Own<kj::ConnectionReceiver> receiver,
             std::shared_ptr<PeerChannel> channel,
             PeerLimits limits);
  ~PeerServer() noexcept(false);

  KJ_DISALLOW_COPY(PeerServer);

  // Port of the listener.
  unsigned port() { return m_receiver->getPort(); }

  // Completes the call with the reply's id. Ignored if the call has ended.
  template <typename Reply>
  void OnReply(Reply reply) {
    m_calls->OnReply(std::move(reply));
  }

 private:
  class Service;
  struct Connection;

  void Accept();
  void AddConnection(kj::Own<kj::AsyncIoStream> stream);
  void RemoveConnection(std::uint64_t id);
  void CloseIdleConnections();
  void taskFailed(kj::Exception&& exception) override;

  kj::Timer& m_timer;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  PeerLimits m_limits;
  std::shared_ptr<PendingPeerCalls> m_calls;
  std::uint64_t m_next_id = 1;
  std::map<std::uint64_t, kj::Own<Connection>> m_connections;
  // Declared last, so that tasks are cancelled before the members that they use
  // are destroyed.
  kj::TaskSet m_tasks;
};

}  // namespace snipehall
