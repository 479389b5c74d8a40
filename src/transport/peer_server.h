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

// Answers the calls of peers on the link thread: hands each to the control
// thread and waits for its reply.
class PeerServer final : private kj::TaskSet::ErrorHandler {
 public:
  PeerServer(kj::Timer& timer,
             kj::Own<kj::ConnectionReceiver> receiver,
             std::shared_ptr<PeerChannel> channel,
             PeerLimits limits);
  ~PeerServer() noexcept(false);

  KJ_DISALLOW_COPY(PeerServer);

  // Port of the listener.
  unsigned port() { return m_receiver->getPort(); }

  // Hands the reply to the call that waits for it, if it still does.
  void OnReply(HeartbeatReply reply);
  void OnReply(RecordsReply reply);

 private:
  class Service;
  struct Connection;

  template <typename T>
  using Waiting = std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<T>>>;

  void Accept();
  void Add(kj::Own<kj::AsyncIoStream> stream);
  void Remove(std::uint64_t id);
  void CloseIdle();
  bool IsBusy() const;
  kj::Promise<kj::Own<Heartbeat>> CallHeartbeat(Heartbeat heartbeat);
  kj::Promise<std::vector<LogEntry>> CallRecords(LogOffset from);
  template <typename T>
  kj::Promise<T> Wait(Waiting<T>& waiting,
                      std::uint64_t call,
                      ToControl message);
  void taskFailed(kj::Exception&& exception) override;

  kj::Timer& m_timer;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  std::shared_ptr<PeerChannel> m_channel;
  PeerLimits m_limits;
  std::uint64_t m_next_id = 1;
  Waiting<kj::Own<Heartbeat>> m_heartbeats;
  Waiting<std::vector<LogEntry>> m_records;
  std::map<std::uint64_t, kj::Own<Connection>> m_connections;
  // Last, so that no task outlives what it refers to.
  kj::TaskSet m_tasks;
};

}  // namespace snipehall
