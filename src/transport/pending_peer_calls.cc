#include "transport/pending_peer_calls.h"

#include <kj/debug.h>

#include <utility>

namespace snipehall {

std::shared_ptr<PendingPeerCalls> PendingPeerCalls::Create(
    kj::Timer& timer,
    std::shared_ptr<PeerChannel> channel,
    PeerLimits limits) {
  return std::shared_ptr<PendingPeerCalls>(
      new PendingPeerCalls(timer, std::move(channel), limits));
}

PendingPeerCalls::PendingPeerCalls(kj::Timer& timer,
                                   std::shared_ptr<PeerChannel> channel,
                                   PeerLimits limits)
    : m_timer(timer), m_channel(std::move(channel)), m_limits(limits) {}

bool PendingPeerCalls::HasReachedLimit() const {
  return m_heartbeats.size() + m_records_requests.size() >=
         m_limits.max_pending_calls;
}

template <typename T>
kj::Promise<T> PendingPeerCalls::AwaitReply(Calls<T>& calls,
                                            std::uint64_t call_id,
                                            ControlThreadMessage message) {
  if (m_closed) {
    return KJ_EXCEPTION(DISCONNECTED, "the server is shutting down");
  }
  if (HasReachedLimit() ||
      !PeerChannel::PushToControlThread(m_channel, std::move(message))) {
    return KJ_EXCEPTION(OVERLOADED, "too many calls are waiting");
  }
  auto pair = kj::newPromiseAndFulfiller<T>();
  calls.emplace(call_id, kj::mv(pair.fulfiller));
  return m_timer
      .timeoutAfter(m_limits.reply_timeout.count() * kj::MILLISECONDS,
                    kj::mv(pair.promise))
      .attach(kj::defer([self = shared_from_this(), &calls, call_id] {
        calls.erase(call_id);
      }));
}

kj::Promise<kj::Own<Heartbeat>> PendingPeerCalls::ForwardHeartbeat(
    Heartbeat heartbeat) {
  const std::uint64_t call_id = m_next_id++;
  return AwaitReply(m_heartbeats, call_id,
                    HeartbeatRequest{call_id, std::move(heartbeat)});
}

kj::Promise<std::vector<LogEntry>> PendingPeerCalls::ForwardRecordsRequest(
    LogOffset from) {
  const std::uint64_t call_id = m_next_id++;
  return AwaitReply(m_records_requests, call_id, RecordsRequest{call_id, from});
}

void PendingPeerCalls::OnReply(HeartbeatReply reply) {
  const auto found = m_heartbeats.find(reply.call_id);
  if (found != m_heartbeats.end()) {
    found->second->fulfill(kj::heap(std::move(reply.heartbeat)));
  }
}

void PendingPeerCalls::OnReply(RecordsReply reply) {
  const auto found = m_records_requests.find(reply.call_id);
  if (found != m_records_requests.end()) {
    found->second->fulfill(std::move(reply.entries));
  }
}

void PendingPeerCalls::Close() {
  m_closed = true;
  m_heartbeats.clear();
  m_records_requests.clear();
}

}  // namespace snipehall
