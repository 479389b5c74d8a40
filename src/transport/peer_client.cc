#include "transport/peer_client.h"

#include <capnp/rpc-twoparty.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

#include "protocol/peer_codec.h"

namespace snipehall {
namespace {

kj::Duration ToKjDuration(Milliseconds time) {
  return time.count() * kj::MILLISECONDS;
}

void SetNoDelay(kj::AsyncIoStream& stream) {
  const int one = 1;
  stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

}  // namespace

struct PeerClient::Connection {
  explicit Connection(kj::Own<kj::AsyncIoStream> connected)
      : stream(kj::mv(connected)),
        client(*stream),
        peer(client.bootstrap().castAs<rpc::Peer>()) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyClient client;
  rpc::Peer::Client peer;
};

struct PeerClient::Peer {
  std::string address;
  kj::Maybe<kj::Own<Connection>> connection;
  bool heartbeat_in_progress = false;
  bool records_request_in_progress = false;
  // Whether the last heartbeat was answered. Only changes are logged.
  bool reachable = false;
  MonotonicTime idle_deadline;
};

PeerClient::PeerClient(kj::Timer& timer,
                       kj::Network& network,
                       std::shared_ptr<PeerChannel> channel,
                       PeerLimits limits)
    : m_timer(timer),
      m_network(network),
      m_channel(std::move(channel)),
      m_limits(limits),
      m_tasks(*this) {
  RemoveIdlePeers();
}

PeerClient::~PeerClient() noexcept(false) = default;

PeerClient::Peer& PeerClient::FindOrAddPeer(const InstanceId& id,
                                            const std::string& address) {
  auto found = m_peers.find(id);
  if (found == m_peers.end()) {
    found = m_peers.emplace(id, kj::heap<Peer>()).first;
  }
  Peer& peer = *found->second;
  if (peer.address != address && !peer.heartbeat_in_progress) {
    peer.address = address;
    peer.connection = nullptr;
  }
  peer.idle_deadline = std::chrono::steady_clock::now() + m_limits.idle_timeout;
  return peer;
}

void PeerClient::Send(const SendHeartbeat& action) {
  Peer& peer = FindOrAddPeer(action.to, action.address);
  if (peer.heartbeat_in_progress) {
    return;
  }
  peer.heartbeat_in_progress = true;
  m_tasks.add(
      m_timer
          .timeoutAfter(ToKjDuration(m_limits.heartbeat_timeout),
                        kj::evalNow([&] {
                          return RequestHeartbeat(peer, action.heartbeat);
                        }))
          .then(
              [&peer, id = action.to] {
                peer.heartbeat_in_progress = false;
                LOG_IF(INFO, !peer.reachable)
                    << "peer " << id << " is reachable";
                peer.reachable = true;
              },
              [&peer, id = action.to](kj::Exception&& exception) {
                peer.heartbeat_in_progress = false;
                peer.connection = nullptr;
                LOG_IF(INFO, peer.reachable)
                    << "peer " << id
                    << " is unreachable: " << exception.getDescription().cStr();
                peer.reachable = false;
              }));
}

void PeerClient::Send(const FetchRecords& action) {
  Peer& peer = FindOrAddPeer(action.peer, action.address);
  if (peer.records_request_in_progress) {
    return;
  }
  peer.records_request_in_progress = true;
  m_tasks.add(m_timer
                  .timeoutAfter(
                      ToKjDuration(m_limits.records_timeout), kj::evalNow([&] {
                        return RequestRecords(action.address, action.from);
                      }))
                  .then([&peer] { peer.records_request_in_progress = false; },
                        [&peer](kj::Exception&&) {
                          peer.records_request_in_progress = false;
                        }));
}

kj::Promise<kj::Own<PeerClient::Connection>> PeerClient::Connect(
    const std::string& address) {
  return m_network.parseAddress(address)
      .then([](kj::Own<kj::NetworkAddress> parsed) {
        auto connected = parsed->connect();
        return connected.attach(kj::mv(parsed));
      })
      .then([](kj::Own<kj::AsyncIoStream> stream) {
        SetNoDelay(*stream);
        return kj::heap<Connection>(kj::mv(stream));
      });
}

kj::Promise<void> PeerClient::RequestHeartbeat(Peer& peer,
                                               snipehall::Heartbeat heartbeat) {
  if (peer.connection == nullptr) {
    return Connect(peer.address)
        .then([this, &peer, heartbeat = std::move(heartbeat)](
                  kj::Own<Connection> connection) mutable {
          peer.connection = kj::mv(connection);
          return RequestHeartbeat(peer, std::move(heartbeat));
        });
  }
  Connection& connection = *KJ_ASSERT_NONNULL(peer.connection);
  auto request = connection.peer.heartbeatRequest();
  WriteHeartbeat(heartbeat, request.initHeartbeat());
  const MonotonicTime sent_at = std::chrono::steady_clock::now();
  return request.send().then(
      [this, sent_at](capnp::Response<rpc::Peer::HeartbeatResults> response) {
        PeerChannel::PushToControlThread(
            m_channel, ReceivedHeartbeatResponse{
                           sent_at, ReadHeartbeat(response.getAnswer())});
      });
}

// Uses a separate connection, so that a large response does not delay
// heartbeats.
kj::Promise<void> PeerClient::RequestRecords(const std::string& address,
                                             LogOffset from) {
  return Connect(address).then([this, from](kj::Own<Connection> connection) {
    auto request = connection->peer.recordsRequest();
    request.setFrom(from);
    request.setMax(m_limits.max_records_per_response);
    return request.send()
        .then([this](capnp::Response<rpc::Peer::RecordsResults> response) {
          PeerChannel::PushToControlThread(
              m_channel, ReceivedRecordsResponse{ReadRecords(response)});
        })
        .attach(kj::mv(connection));
  });
}

void PeerClient::RemoveIdlePeers() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  std::erase_if(m_peers, [now](const auto& entry) {
    const Peer& peer = *entry.second;
    return !peer.heartbeat_in_progress && !peer.records_request_in_progress &&
           peer.idle_deadline <= now;
  });
  m_tasks.add(
      m_timer.afterDelay(ToKjDuration(m_limits.idle_timeout) / 4).then([this] {
        RemoveIdlePeers();
      }));
}

void PeerClient::taskFailed(kj::Exception&& exception) {
  LOG(WARNING) << "peer client task failed: "
               << exception.getDescription().cStr();
}

}  // namespace snipehall
