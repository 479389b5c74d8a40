#include "transport/peer_server.h"

#include <glog/logging.h>

#include <utility>

#include "protocol/peer_codec.h"

namespace snipehall {
namespace {

kj::Duration ToKjDuration(Milliseconds time) {
  return time.count() * kj::MILLISECONDS;
}

}  // namespace

// A connection from a peer.
struct PeerServer::Connection {
  Connection(kj::Own<kj::AsyncIoStream> accepted,
             rpc::Peer::Client service,
             std::shared_ptr<MonotonicTime> deadline)
      : stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER),
        system(capnp::makeRpcServer(network, kj::mv(service))),
        idle_deadline(std::move(deadline)) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
  // Shared with the Service.
  std::shared_ptr<MonotonicTime> idle_deadline;
};

// RPC interface that a peer calls on one connection. Calls in progress may
// outlive the server, so it refers to nothing that the server owns alone.
class PeerServer::Service final : public rpc::Peer::Server {
 public:
  Service(std::shared_ptr<PendingPeerCalls> calls,
          std::shared_ptr<MonotonicTime> idle_deadline)
      : m_calls(std::move(calls)), m_idle_deadline(std::move(idle_deadline)) {}

 protected:
  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    ExtendIdleDeadline();
    return m_calls
        ->ForwardHeartbeat(ReadHeartbeat(context.getParams().getHeartbeat()))
        .then([context](kj::Own<Heartbeat> answer) mutable {
          WriteHeartbeat(*answer, context.getResults().initAnswer());
        });
  }

  kj::Promise<void> records(RecordsContext context) override {
    ExtendIdleDeadline();
    const auto params = context.getParams();
    const PeerLimits& limits = m_calls->limits();
    const std::size_t max =
        std::min<std::size_t>(params.getMax(), limits.max_records_per_response);
    return m_calls->ForwardRecordsRequest(params.getFrom())
        .then([context, max, bytes = limits.max_record_bytes_per_response](
                  std::vector<LogEntry> entries) mutable {
          WriteRecords(entries, max, bytes, context.getResults());
        });
  }

 private:
  void ExtendIdleDeadline() {
    *m_idle_deadline =
        std::chrono::steady_clock::now() + m_calls->limits().idle_timeout;
  }

  std::shared_ptr<PendingPeerCalls> m_calls;
  std::shared_ptr<MonotonicTime> m_idle_deadline;
};

PeerServer::PeerServer(kj::Timer& timer,
                       kj::Own<kj::ConnectionReceiver> receiver,
                       std::shared_ptr<PeerChannel> channel,
                       PeerLimits limits)
    : m_timer(timer),
      m_receiver(kj::mv(receiver)),
      m_limits(limits),
      m_calls(PendingPeerCalls::Create(timer, std::move(channel), limits)),
      m_tasks(*this) {
  Accept();
  CloseIdleConnections();
}

PeerServer::~PeerServer() noexcept(false) {
  m_calls->Close();
}

void PeerServer::Accept() {
  m_tasks.add(m_receiver->accept().then(
      [this](kj::Own<kj::AsyncIoStream> stream) {
        AddConnection(kj::mv(stream));
        Accept();
      },
      [this](kj::Exception&& exception) {
        LOG(WARNING) << "cannot accept a connection from a peer: "
                     << exception.getDescription().cStr();
        // accept() fails while the process has no free file descriptors; retry
        // later.
        m_tasks.add(m_timer.afterDelay(100 * kj::MILLISECONDS).then([this] {
          Accept();
        }));
      }));
}

void PeerServer::AddConnection(kj::Own<kj::AsyncIoStream> stream) {
  if (m_connections.size() >= m_limits.max_connections) {
    return;
  }
  const std::uint64_t id = m_next_id++;
  const auto idle_deadline = std::make_shared<MonotonicTime>(
      std::chrono::steady_clock::now() + m_limits.idle_timeout);
  auto connection = kj::heap<Connection>(
      kj::mv(stream), kj::heap<Service>(m_calls, idle_deadline), idle_deadline);
  // The connection is destroyed in a later turn of the event loop, because it
  // owns the promise that resolves here. `remove` is wrapped in lambdas below,
  // because then() keeps a reference to a function object that is passed as an
  // lvalue.
  const auto remove = [this, id] {
    m_tasks.add(kj::evalLater([this, id] { RemoveConnection(id); }));
  };
  m_tasks.add(connection->network.onDisconnect().then(
      [remove] { remove(); }, [remove](kj::Exception&&) { remove(); }));
  m_connections.emplace(id, kj::mv(connection));
}

void PeerServer::RemoveConnection(std::uint64_t id) {
  m_connections.erase(id);
}

void PeerServer::CloseIdleConnections() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  std::erase_if(m_connections, [now](const auto& entry) {
    return *entry.second->idle_deadline <= now;
  });
  m_tasks.add(
      m_timer.afterDelay(ToKjDuration(m_limits.idle_timeout) / 4).then([this] {
        CloseIdleConnections();
      }));
}

void PeerServer::taskFailed(kj::Exception&& exception) {
  LOG(WARNING) << "peer server task failed: "
               << exception.getDescription().cStr();
}

}  // namespace snipehall
