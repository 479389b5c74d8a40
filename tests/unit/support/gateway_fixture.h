#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "transport/event_loop.h"
#include "transport/gateway/gateway_server.h"
#include "unit/support/fake_target.h"

namespace snipehall::test {

// A gateway in this process, without the platform: the test sets the routes and
// the targets. It has the routes /read/ (idempotent) and /order/ (not
// idempotent) of the host "test", both to the service "work".
class GatewayFixture {
 public:
  struct Options {
    Milliseconds timeout{5000};
    int max_attempts = 3;
    std::size_t request_buffer_bytes = std::size_t{64} << 20;
    std::size_t response_buffer_bytes = std::size_t{64} << 20;
    std::size_t max_caller_connections = 10000;
    RequestLimits limits;
    // The service is keyed, and its first target owns all keys.
    bool keyed = false;
    // Number of targets, the first ones, that are cold.
    std::size_t cold_targets = 0;
  };

  explicit GatewayFixture(const std::vector<std::string>& target_addresses)
      : GatewayFixture(target_addresses, Options()) {}
  GatewayFixture(const std::vector<std::string>& target_addresses,
                 const Options& options)
      : m_context(m_io.get_executor(),
                  Settings(options),
                  GatewayHeaderNames(),
                  m_state,
                  m_metrics,
                  1),
        m_server(GatewayServer::Create(
                     m_context,
                     Settings(options),
                     [] { return true; },
                     [] {})
                     .value()) {
    Route read;
    read.name = "read";
    read.host = "test";
    read.path_prefix = "/read/";
    read.idempotent = true;
    read.timeout = options.timeout;
    read.max_attempts = options.max_attempts;
    read.services = {{"work", 1}};
    Route order = read;
    order.name = "order";
    order.path_prefix = "/order/";
    order.idempotent = false;
    ServicePolicy service;
    service.name = "work";
    service.connection_limit = 10000;
    service.keyed = options.keyed;
    service.cold_rate = 10;
    m_state.SetPolicy(
        RoutePolicy::Create(1, options.limits, {read, order}, {service})
            .value());
    TargetList targets;
    for (const std::string& address : target_addresses) {
      ListedTarget target;
      target.id = "target-" + std::to_string(targets.size());
      target.service = "work";
      target.zone = "zone";
      target.address = address;
      target.slots = 1000;
      if (targets.size() < options.cold_targets) {
        target.warmup_until =
            std::chrono::steady_clock::now() + std::chrono::minutes(1);
      }
      targets.emplace(target.id, target);
    }
    m_state.SetTargets(std::move(targets));
    if (options.keyed) {
      KeyTable table;
      table.services["work"] = {
          {.first = 0, .last = kLastKey, .owner = "target-0"}};
      m_state.SetKeys(std::move(table));
    }
    m_context.services.SetInstanceCount(1);
    m_context.rate_limits.set_instance_count(1);
    m_server->Start();
    m_thread = std::thread([this] { m_io.run(); });
  }

  ~GatewayFixture() {
    m_io.stop();
    m_thread.join();
    m_io.DestroyPending();
  }
  GatewayFixture(const GatewayFixture&) = delete;
  GatewayFixture& operator=(const GatewayFixture&) = delete;

  RawSocket Connect() const {
    return RawSocket::Connect(m_server->caller_address());
  }

  // Runs `function` on the gateway's thread and returns its result.
  template <typename Function>
  auto Run(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    boost::asio::post(m_io, [&task] { task(); });
    return result.get();
  }

  // A connection of another instance, which forwards requests.
  RawSocket ConnectAsInstance() {
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(
        io, {boost::asio::ip::address_v4::loopback(), 0});
    RawSocket instance = RawSocket::Connect(
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    boost::asio::ip::tcp::socket accepted = acceptor.accept();
    const int descriptor = accepted.release();
    Run([&] {
      m_server->StartInstanceSession(std::make_shared<ByteStream>(
          Socket(m_io.get_executor(), boost::asio::ip::tcp::v4(), descriptor)));
      return true;
    });
    return instance;
  }

  GatewayServer& server() { return *m_server; }
  GatewayContext& context() { return m_context; }

  // The head of a request with `path` and the ID `id`.
  static std::string Request(const std::string& method,
                             const std::string& path,
                             const std::string& id,
                             const std::string& more_fields = {}) {
    return method + " " + path + " HTTP/1.1\r\nHost: test\r\n" +
           "Snipehall-Request-Id: " + id + "\r\n" + more_fields + "\r\n";
  }

  // A complete response of a target to the request with the ID `id`.
  static std::string OkResponse(const std::string& id,
                                const std::string& body) {
    return "HTTP/1.1 200 OK\r\nSnipehall-Request-Id: " + id +
           "\r\nSnipehall-Signature: s\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  // A target's statement that it has not run the request with the ID `id`.
  static std::string NotRunResponse(const std::string& id) {
    return "HTTP/1.1 503 Service Unavailable\r\nSnipehall-Request-Id: " + id +
           "\r\nSnipehall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  }

 private:
  static GatewaySettings Settings(const Options& options) {
    GatewaySettings settings;
    settings.instance = "instance";
    settings.zone = "zone";
    settings.caller_address = "127.0.0.1:0";
    settings.status_address = "127.0.0.1:0";
    settings.retry_limits.base = 1000;
    settings.request_buffer_bytes = options.request_buffer_bytes;
    settings.response_buffer_bytes = options.response_buffer_bytes;
    settings.max_caller_connections = options.max_caller_connections;
    return settings;
  }

  EventLoop m_io{1};
  RoutingState m_state;
  GatewayMetrics m_metrics;
  GatewayContext m_context;
  std::unique_ptr<GatewayServer> m_server;
  std::thread m_thread;
};

}  // namespace snipehall::test
