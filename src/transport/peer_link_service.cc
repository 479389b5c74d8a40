#include "transport/peer_link_service.h"

#include <glog/logging.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/exception.h>

#include <future>
#include <utility>
#include <variant>

#include "transport/peer_client.h"
#include "transport/peer_server.h"
#include "transport/tcp_endpoint.h"

namespace snipehall {
namespace {

template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

// Passes messages from the control thread to the client and the server until
// `stopping` is set.
class MessageDispatcher {
 public:
  MessageDispatcher(kj::UnixEventPort& port,
                    PeerChannel& channel,
                    PeerClient& client,
                    PeerServer& server,
                    const std::atomic<bool>& stopping)
      : m_observer(port,
                   channel.wake_fd(),
                   kj::UnixEventPort::FdObserver::OBSERVE_READ),
        m_channel(channel),
        m_client(client),
        m_server(server),
        m_stopping(stopping) {}

  kj::Promise<void> Run() {
    m_channel.ClearWakeup();
    while (std::optional<LinkThreadMessage> message =
               m_channel.PopOnLinkThread()) {
      std::visit(
          Overloaded{[this](SendHeartbeat& action) { m_client.Send(action); },
                     [this](FetchRecords& action) { m_client.Send(action); },
                     [this](HeartbeatReply& reply) {
                       m_server.OnReply(std::move(reply));
                     },
                     [this](RecordsReply& reply) {
                       m_server.OnReply(std::move(reply));
                     }},
          *message);
    }
    if (m_stopping) {
      return kj::READY_NOW;
    }
    return m_observer.whenBecomesReadable().then([this] { return Run(); });
  }

 private:
  kj::UnixEventPort::FdObserver m_observer;
  PeerChannel& m_channel;
  PeerClient& m_client;
  PeerServer& m_server;
  const std::atomic<bool>& m_stopping;
};

}  // namespace

Result<std::unique_ptr<PeerLinkService>> PeerLinkService::Start(
    const std::string& address,
    boost::asio::any_io_executor control,
    PeerLimits limits,
    Handlers handlers) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (endpoint.has_error()) {
    return endpoint.error();
  }
  std::unique_ptr<PeerLinkService> service(
      new PeerLinkService(std::move(handlers)));
  auto channel = PeerChannel::Create(
      limits.queue_capacity, std::move(control),
      [self = service.get()](ControlThreadMessage& message) {
        self->OnMessage(message);
      });
  if (channel.has_error()) {
    return channel.error();
  }
  service->m_channel = std::move(channel).value();
  std::promise<Result<std::string>> listening;
  service->m_thread =
      std::thread([self = service.get(), address, limits, &listening] {
        self->Run(address, limits, [&listening](Result<std::string> bound) {
          listening.set_value(std::move(bound));
        });
      });
  Result<std::string> bound = listening.get_future().get();
  if (bound.has_error()) {
    return bound.error();
  }
  service->m_address = std::move(bound).value();
  return service;
}

PeerLinkService::PeerLinkService(Handlers handlers)
    : m_handlers(std::move(handlers)) {}

PeerLinkService::~PeerLinkService() {
  if (m_channel) {
    m_channel->Close();
    m_stopping = true;
    m_channel->Wake();
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void PeerLinkService::Send(SendHeartbeat action) {
  m_channel->PushToLinkThread(std::move(action));
}

void PeerLinkService::Send(FetchRecords action) {
  m_channel->PushToLinkThread(std::move(action));
}

void PeerLinkService::OnMessage(ControlThreadMessage& message) {
  std::visit(
      Overloaded{[this](const HeartbeatRequest& request) {
                   m_channel->PushToLinkThread(HeartbeatReply{
                       request.call_id,
                       m_handlers.make_heartbeat_reply(request.heartbeat)});
                 },
                 [this](const RecordsRequest& request) {
                   m_channel->PushToLinkThread(RecordsReply{
                       request.call_id, m_handlers.read_records(request.from)});
                 },
                 [this](const ReceivedHeartbeatResponse& received) {
                   m_handlers.on_heartbeat_response(received.sent_at,
                                                    received.heartbeat);
                 },
                 [this](const ReceivedRecordsResponse& received) {
                   m_handlers.on_records(received.entries);
                 }},
      message);
}

void PeerLinkService::Run(
    const std::string& address,
    PeerLimits limits,
    std::function<void(Result<std::string>)> on_listening) {
  bool listening = false;
  const auto exception = kj::runCatchingExceptions([&] {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Network& network = io.provider->getNetwork();
    kj::Timer& timer = io.provider->getTimer();
    PeerServer server(
        timer, network.parseAddress(address).wait(io.waitScope)->listen(),
        m_channel, limits);
    PeerClient client(timer, network, m_channel, limits);
    listening = true;
    on_listening(address.substr(0, address.rfind(':') + 1) +
                 std::to_string(server.port()));
    MessageDispatcher dispatcher(io.unixEventPort, *m_channel, client, server,
                                 m_stopping);
    dispatcher.Run().wait(io.waitScope);
  });
  KJ_IF_MAYBE (problem, exception) {
    // Without its connections to peers the instance could not take part in
    // confirming the state.
    LOG_IF(FATAL, listening)
        << "peer link thread failed: " << problem->getDescription().cStr();
    on_listening(
        Fail(ErrorCode::kUnavailable, "cannot listen at " + address + ": " +
                                          problem->getDescription().cStr()));
  }
}

}  // namespace snipehall
