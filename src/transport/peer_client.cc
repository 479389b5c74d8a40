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

kj::Duration ToKj(Milliseconds time) {
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
  bool fetch_in_progress = false;
  // Whether the last heartbeat was answered; only its changes are logged.
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
  CloseIdle();
}

PeerClient::~PeerClient() noexcept(false) = default;

PeerClient::Peer& PeerClient::FindPeer(const InstanceId& id,
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
  peer.idle_deadline = std::chrono::steady_clock::now() + m_limits.idle;
  return peer;
}

void PeerClient::Send(const SendHeartbeat& action) {
  Peer& peer = FindPeer(action.to, action.address);
  if (peer.heartbeat_in_progress) {
    return;
  }
  peer.heartbeat_in_progress = true;
  m_tasks.add(m_timer
                  .timeoutAfter(ToKj(m_limits.heartbeat_call), kj::evalNow([&] {
                                  return Heartbeat(peer, action.heartbeat);
                                }))
                  .then(
                      [&peer, id = action.to] {
                        peer.heartbeat_in_progress = false;
                        LOG_IF(INFO, !peer.reachable)
                            << "peer " << id << " answers";
                        peer.reachable = true;
                      },
                      [&peer, id = action.to](kj::Exception&& exception) {
                        peer.heartbeat_in_progress = false;
                        peer.connection = nullptr;
                        LOG_IF(INFO, peer.reachable)
                            << "peer " << id << " does not answer: "
                            << exception.getDescription().cStr();
                        peer.reachable = false;
                      }));
}

void PeerClient::Send(const FetchRecords& action) {
  Peer& peer = FindPeer(action.peer, action.address);
  if (peer.fetch_in_progress) {
    return;
  }
  peer.fetch_in_progress = true;
  m_tasks.add(
      m_timer
          .timeoutAfter(ToKj(m_limits.records_call), kj::evalNow([&] {
                          return Fetch(action.address, action.from);
                        }))
          .then([&peer] { peer.fetch_in_progress = false; },
                [&peer](kj::Exception&&) { peer.fetch_in_progress = false; }));
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

kj::Promise<void> PeerClient::Heartbeat(Peer& peer,
                                        snipehall::Heartbeat heartbeat) {
  if (peer.connection == nullptr) {
    return Connect(peer.address)
        .then([this, &peer, heartbeat = std::move(heartbeat)](
                  kj::Own<Connection> connection) mutable {
          peer.connection = kj::mv(connection);
          return Heartbeat(peer, std::move(heartbeat));
        });
  }
  Connection& connection = *KJ_ASSERT_NONNULL(peer.connection);
  auto request = connection.peer.heartbeatRequest();
  WriteHeartbeat(heartbeat, request.initHeartbeat());
  const MonotonicTime sent = std::chrono::steady_clock::now();
  return request.send().then(
      [this, sent](capnp::Response<rpc::Peer::HeartbeatResults> response) {
        PeerChannel::PushToControl(
            m_channel,
            HeartbeatAnswer{sent, ReadHeartbeat(response.getAnswer())});
      });
}

// Takes a connection of its own, so that a long answer does not delay
// heartbeats.
kj::Promise<void> PeerClient::Fetch(const std::string& address,
                                    LogOffset from) {
  return Connect(address).then([this, from](kj::Own<Connection> connection) {
    auto request = connection->peer.recordsRequest();
    request.setFrom(from);
    request.setMax(m_limits.records_count);
    return request.send()
        .then([this](capnp::Response<rpc::Peer::RecordsResults> response) {
          PeerChannel::PushToControl(m_channel,
                                     RecordsAnswer{ReadRecords(response)});
        })
        .attach(kj::mv(connection));
  });
}

void PeerClient::CloseIdle() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  std::erase_if(m_peers, [now](const auto& entry) {
    const Peer& peer = *entry.second;
    return !peer.heartbeat_in_progress && !peer.fetch_in_progress &&
           peer.idle_deadline <= now;
  });
  m_tasks.add(m_timer.afterDelay(ToKj(m_limits.idle) / 4).then([this] {
    CloseIdle();
  }));
}

void PeerClient::taskFailed(kj::Exception&& exception) {
  LOG(WARNING) << "peer links: " << exception.getDescription().cStr();
}

}  // namespace snipehall
