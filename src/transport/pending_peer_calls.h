#pragma once

#include <kj/async.h>
#include <kj/timer.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "transport/peer_channel.h"
#include "transport/peer_limits.h"

namespace snipehall {

// The calls of peers that wait for a reply from the control thread. Used on the
// link thread only.
//
// The RPC system destroys a call that it has cancelled in a later turn of the
// event loop, or with the loop, so the promises share the ownership of this
// object.
class PendingPeerCalls : public std::enable_shared_from_this<PendingPeerCalls> {
 public:
  // `timer` must outlive the event loop's promises.
  static std::shared_ptr<PendingPeerCalls> Create(
      kj::Timer& timer,
      std::shared_ptr<PeerChannel> channel,
      PeerLimits limits);

  KJ_DISALLOW_COPY(PendingPeerCalls);

  // Sends the call to the control thread. The promise is broken if too many
  // calls are waiting, the queue to the control thread is full, there is no
  // reply in time, or the calls were closed.
  kj::Promise<kj::Own<Heartbeat>> ForwardHeartbeat(Heartbeat heartbeat);
  kj::Promise<std::vector<LogEntry>> ForwardRecordsRequest(LogOffset from);

  // Completes the call with the reply's id. Ignored if the call has ended.
  void OnReply(HeartbeatReply reply);
  void OnReply(RecordsReply reply);

  // Rejects further calls and breaks those that wait. Call when the server
  // ends.
  void Close();

  const PeerLimits& limits() const { return m_limits; }

 private:
  // By call id.
  template <typename T>
  using Calls = std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<T>>>;

  PendingPeerCalls(kj::Timer& timer,
                   std::shared_ptr<PeerChannel> channel,
                   PeerLimits limits);

  // Whether further calls are rejected until pending ones end.
  bool HasReachedLimit() const;
  // Sends `message` to the control thread and returns the reply to `call_id`.
  template <typename T>
  kj::Promise<T> AwaitReply(Calls<T>& calls,
                            std::uint64_t call_id,
                            ControlThreadMessage message);

  kj::Timer& m_timer;
  std::shared_ptr<PeerChannel> m_channel;
  PeerLimits m_limits;
  std::uint64_t m_next_id = 1;
  bool m_closed = false;
  Calls<kj::Own<Heartbeat>> m_heartbeats;
  Calls<std::vector<LogEntry>> m_records_requests;
};

}  // namespace snipehall
