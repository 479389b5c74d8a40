#include "process/support/relay.h"

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <utility>

#include "process/support/http_client.h"

namespace snipehall::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class Relay::Impl {
 public:
  explicit Impl(const std::string& upstream)
      : m_upstream(ParseAddress(upstream)),
        m_acceptor(m_context,
                   tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_resumed(m_context, asio::steady_timer::time_point::max()) {
    asio::co_spawn(m_context, Accept(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~Impl() {
    m_context.stop();
    m_thread.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  void SetStopped(bool stopped) {
    m_stopped = stopped;
    if (!stopped) {
      asio::post(m_context, [this] { m_resumed.cancel(); });
    }
  }

 private:
  using Socket = std::shared_ptr<tcp::socket>;

  asio::awaitable<void> Accept() {
    for (;;) {
      auto caller = std::make_shared<tcp::socket>(
          co_await m_acceptor.async_accept(asio::use_awaitable));
      asio::co_spawn(m_context, Connect(std::move(caller)), asio::detached);
    }
  }

  asio::awaitable<void> Connect(Socket caller) {
    co_await WaitWhileStopped();
    auto upstream = std::make_shared<tcp::socket>(m_context);
    error_code failure;
    co_await upstream->async_connect(
        m_upstream, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return;
    }
    caller->set_option(tcp::no_delay(true), failure);
    upstream->set_option(tcp::no_delay(true), failure);
    asio::co_spawn(m_context, Forward(caller, upstream), asio::detached);
    asio::co_spawn(m_context, Forward(upstream, caller), asio::detached);
  }

  asio::awaitable<void> Forward(Socket from, Socket to) {
    std::array<char, 16384> bytes{};
    error_code failure;
    while (!failure) {
      const std::size_t size = co_await from->async_read_some(
          asio::buffer(bytes),
          asio::redirect_error(asio::use_awaitable, failure));
      // An end that arrives while the relay is stopped waits like the bytes.
      co_await WaitWhileStopped();
      if (!failure) {
        co_await asio::async_write(
            *to, asio::buffer(bytes.data(), size),
            asio::redirect_error(asio::use_awaitable, failure));
      }
    }
    to->shutdown(tcp::socket::shutdown_send, failure);
  }

  asio::awaitable<void> WaitWhileStopped() {
    while (m_stopped) {
      error_code cancelled;
      co_await m_resumed.async_wait(
          asio::redirect_error(asio::use_awaitable, cancelled));
    }
  }

  asio::io_context m_context{1};
  tcp::endpoint m_upstream;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_resumed;
  std::atomic<bool> m_stopped = false;
  std::thread m_thread;
};

Relay::Relay(const std::string& upstream)
    : m_impl(std::make_unique<Impl>(upstream)), m_address(m_impl->address()) {}

Relay::~Relay() = default;

void Relay::Stop() {
  m_impl->SetStopped(true);
}

void Relay::Resume() {
  m_impl->SetStopped(false);
}

}  // namespace snipehall::test
