#include "transport/peer_server.h"

#include <glog/logging.h>

#include <utility>

#include "protocol/peer_codec.h"

namespace snipehall {
namespace {

kj::Duration ToKj(Milliseconds time) {
  return time.count() * kj::MILLISECONDS;
}

}  // namespace

// One connection from a peer.
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

// The interface that a peer sees on one connection.
class PeerServer::Service final : public rpc::Peer::Server {
 public:
  Service(PeerServer* server, std::uint64_t connection)
      : m_server(server), m_connection(connection) {}

 protected:
  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    NoteUse();
    return m_server
        ->CallHeartbeat(ReadHeartbeat(context.getParams().getHeartbeat()))
        .then([context](kj::Own<Heartbeat> answer) mutable {
          WriteHeartbeat(*answer, context.getResults().initAnswer());
        });
  }

  kj::Promise<void> records(RecordsContext context) override {
    NoteUse();
    const auto params = context.getParams();
    const PeerLimits& limits = m_server->m_limits;
    const std::size_t max =
        std::min<std::size_t>(params.getMax(), limits.records_count);
    return m_server->CallRecords(params.getFrom())
        .then([context, max, bytes = limits.records_bytes](
                  std::vector<LogEntry> entries) mutable {
          WriteRecords(entries, max, bytes, context.getResults());
        });
  }

 private:
  void NoteUse() {
    const auto found = m_server->m_connections.find(m_connection);
    if (found != m_server->m_connections.end()) {
      found->second->idle_deadline =
          std::chrono::steady_clock::now() + m_server->m_limits.idle;
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
  CloseIdle();
}

PeerServer::~PeerServer() noexcept(false) = default;

void PeerServer::Accept() {
  m_tasks.add(m_receiver->accept().then(
      [this](kj::Own<kj::AsyncIoStream> stream) {
        Add(kj::mv(stream));
        Accept();
      },
      [this](kj::Exception&& exception) {
        LOG(WARNING) << "accepting a peer failed: "
                     << exception.getDescription().cStr();
        // Accepting fails while file descriptors are short.
        m_tasks.add(m_timer.afterDelay(100 * kj::MILLISECONDS).then([this] {
          Accept();
        }));
      }));
}

void PeerServer::Add(kj::Own<kj::AsyncIoStream> stream) {
  if (m_connections.size() >= m_limits.connections) {
    return;
  }
  const std::uint64_t id = m_next_id++;
  auto connection =
      kj::heap<Connection>(kj::mv(stream), kj::heap<Service>(this, id));
  connection->idle_deadline = std::chrono::steady_clock::now() + m_limits.idle;
  // The connection is removed in a later turn of the loop, because the promise
  // that resolves is part of it.
  // `then` keeps a reference to a function object that it gets by reference.
  const auto remove = [this, id] {
    m_tasks.add(kj::evalLater([this, id] { Remove(id); }));
  };
  m_tasks.add(connection->network.onDisconnect().then(
      [remove] { remove(); }, [remove](kj::Exception&&) { remove(); }));
  m_connections.emplace(id, kj::mv(connection));
}

void PeerServer::Remove(std::uint64_t id) {
  m_connections.erase(id);
}

void PeerServer::CloseIdle() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  std::erase_if(m_connections, [now](const auto& entry) {
    return entry.second->idle_deadline <= now;
  });
  m_tasks.add(m_timer.afterDelay(ToKj(m_limits.idle) / 4).then([this] {
    CloseIdle();
  }));
}

bool PeerServer::IsBusy() const {
  return m_heartbeats.size() + m_records.size() >= m_limits.waiting_calls;
}

template <typename T>
kj::Promise<T> PeerServer::Wait(Waiting<T>& waiting,
                                std::uint64_t call,
                                ToControl message) {
  if (IsBusy() || !PeerChannel::PushToControl(m_channel, std::move(message))) {
    return KJ_EXCEPTION(OVERLOADED, "too many calls are waiting");
  }
  auto pair = kj::newPromiseAndFulfiller<T>();
  waiting.emplace(call, kj::mv(pair.fulfiller));
  return m_timer.timeoutAfter(ToKj(m_limits.reply), kj::mv(pair.promise))
      .attach(kj::defer([&waiting, call] { waiting.erase(call); }));
}

kj::Promise<kj::Own<Heartbeat>> PeerServer::CallHeartbeat(Heartbeat heartbeat) {
  const std::uint64_t call = m_next_id++;
  return Wait(m_heartbeats, call, HeartbeatCall{call, std::move(heartbeat)});
}

kj::Promise<std::vector<LogEntry>> PeerServer::CallRecords(LogOffset from) {
  const std::uint64_t call = m_next_id++;
  return Wait(m_records, call, RecordsCall{call, from});
}

void PeerServer::OnReply(HeartbeatReply reply) {
  const auto found = m_heartbeats.find(reply.call);
  if (found != m_heartbeats.end()) {
    found->second->fulfill(kj::heap(std::move(reply.heartbeat)));
  }
}

void PeerServer::OnReply(RecordsReply reply) {
  const auto found = m_records.find(reply.call);
  if (found != m_records.end()) {
    found->second->fulfill(std::move(reply.entries));
  }
}

void PeerServer::taskFailed(kj::Exception&& exception) {
  LOG(WARNING) << "peer listener: " << exception.getDescription().cStr();
}

}  // namespace snipehall
