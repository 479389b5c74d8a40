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
  Connection(kj::Own<kj::AsyncIoStream> accepted, rpc::Peer::Client service)
      : stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER),
        system(capnp::makeRpcServer(network, kj::mv(service))) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
  MonotonicTime idle_deadline;
};

// RPC interface that a peer calls on one connection.
class PeerServer::Service final : public rpc::Peer::Server {
 public:
  Service(PeerServer* server, std::uint64_t connection)
      : m_server(server), m_connection(connection) {}

 protected:
  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    ExtendIdleDeadline();
    return m_server
        ->ForwardHeartbeat(ReadHeartbeat(context.getParams().getHeartbeat()))
        .then([context](kj::Own<Heartbeat> answer) mutable {
          WriteHeartbeat(*answer, context.getResults().initAnswer());
        });
  }

  kj::Promise<void> records(RecordsContext context) override {
    ExtendIdleDeadline();
    const auto params = context.getParams();
    const PeerLimits& limits = m_server->m_limits;
    const std::size_t max =
        std::min<std::size_t>(params.getMax(), limits.max_records_per_response);
    return m_server->ForwardRecordsRequest(params.getFrom())
        .then([context, max, bytes = limits.max_record_bytes_per_response](
                  std::vector<LogEntry> entries) mutable {
          WriteRecords(entries, max, bytes, context.getResults());
        });
  }

 private:
  void ExtendIdleDeadline() {
    const auto found = m_server->m_connections.find(m_connection);
    if (found != m_server->m_connections.end()) {
      found->second->idle_deadline =
          std::chrono::steady_clock::now() + m_server->m_limits.idle_timeout;
    }
  }

  PeerServer* m_server;
  std::uint64_t m_connection;
};

PeerServer::PeerServer(kj::Timer& timer,
                       kj::Own<kj::ConnectionReceiver> receiver,
                       std::shared_ptr<PeerChannel> channel,
                       PeerLimits limits)
    : m_timer(timer),
      m_receiver(kj::mv(receiver)),
      m_channel(std::move(channel)),
      m_limits(limits),
      m_tasks(*this) {
  Accept();
  CloseIdleConnections();
}

PeerServer::~PeerServer() noexcept(false) = default;

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
  auto connection =
      kj::heap<Connection>(kj::mv(stream), kj::heap<Service>(this, id));
  connection->idle_deadline =
      std::chrono::steady_clock::now() + m_limits.idle_timeout;
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
    return entry.second->idle_deadline <= now;
  });
  m_tasks.add(
      m_timer.afterDelay(ToKjDuration(m_limits.idle_timeout) / 4).then([this] {
        CloseIdleConnections();
      }));
}

bool PeerServer::HasReachedCallLimit() const {
  return m_pending_heartbeats.size() + m_pending_records_requests.size() >=
         m_limits.max_pending_calls;
}

template <typename T>
kj::Promise<T> PeerServer::AwaitReply(PendingCalls<T>& pending,
                                      std::uint64_t call_id,
                                      ControlThreadMessage message) {
  if (HasReachedCallLimit() ||
      !PeerChannel::PushToControlThread(m_channel, std::move(message))) {
    return KJ_EXCEPTION(OVERLOADED, "too many calls are waiting");
  }
  auto pair = kj::newPromiseAndFulfiller<T>();
  pending.emplace(call_id, kj::mv(pair.fulfiller));
  return m_timer
      .timeoutAfter(ToKjDuration(m_limits.reply_timeout), kj::mv(pair.promise))
      .attach(kj::defer([&pending, call_id] { pending.erase(call_id); }));
}

kj::Promise<kj::Own<Heartbeat>> PeerServer::ForwardHeartbeat(
    Heartbeat heartbeat) {
  const std::uint64_t call_id = m_next_id++;
  return AwaitReply(m_pending_heartbeats, call_id,
                    HeartbeatRequest{call_id, std::move(heartbeat)});
}

kj::Promise<std::vector<LogEntry>> PeerServer::ForwardRecordsRequest(
    LogOffset from) {
  const std::uint64_t call_id = m_next_id++;
  return AwaitReply(m_pending_records_requests, call_id,
                    RecordsRequest{call_id, from});
}

void PeerServer::OnReply(HeartbeatReply reply) {
  const auto found = m_pending_heartbeats.find(reply.call_id);
  if (found != m_pending_heartbeats.end()) {
    found->second->fulfill(kj::heap(std::move(reply.heartbeat)));
  }
}

void PeerServer::OnReply(RecordsReply reply) {
  const auto found = m_pending_records_requests.find(reply.call_id);
  if (found != m_pending_records_requests.end()) {
    found->second->fulfill(std::move(reply.entries));
  }
}

void PeerServer::taskFailed(kj::Exception&& exception) {
  LOG(WARNING) << "peer server task failed: "
               << exception.getDescription().cStr();
}

}  // namespace snipehall
