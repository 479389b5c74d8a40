#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "protocol/peer.capnp.h"
#include "transport/peer_channel.h"
#include "transport/peer_limits.h"

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
  void OnReply(HeartbeatReply reply);
  void OnReply(RecordsReply reply);

 private:
  class Service;
  struct Connection;

  // Calls that wait for a reply from the control thread, by call id.
  template <typename T>
  using PendingCalls =
      std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<T>>>;

  void Accept();
  void AddConnection(kj::Own<kj::AsyncIoStream> stream);
  void RemoveConnection(std::uint64_t id);
  void CloseIdleConnections();
  // Whether further calls are rejected until pending ones end.
  bool HasReachedCallLimit() const;
  kj::Promise<kj::Own<Heartbeat>> ForwardHeartbeat(Heartbeat heartbeat);
  kj::Promise<std::vector<LogEntry>> ForwardRecordsRequest(LogOffset from);
  // Sends `message` to the control thread and returns the reply to `call_id`.
  template <typename T>
  kj::Promise<T> AwaitReply(PendingCalls<T>& pending,
                            std::uint64_t call_id,
                            ControlThreadMessage message);
  void taskFailed(kj::Exception&& exception) override;

  kj::Timer& m_timer;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  std::shared_ptr<PeerChannel> m_channel;
  PeerLimits m_limits;
  std::uint64_t m_next_id = 1;
  PendingCalls<kj::Own<Heartbeat>> m_pending_heartbeats;
  PendingCalls<std::vector<LogEntry>> m_pending_records_requests;
  std::map<std::uint64_t, kj::Own<Connection>> m_connections;
  // Declared last, so that tasks are cancelled before the members that they use
  // are destroyed.
  kj::TaskSet m_tasks;
};

}  // namespace snipehall
