#include "process/support/relay.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include "process/support/http_client.h"

namespace snipehall::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class Relay::Impl {
 public:
  explicit Impl(const std::string& upstream)
      : m_upstream(ParseAddress(upstream)),
        m_acceptor(BindToFreePort(m_context)),
        m_endpoint(m_acceptor.local_endpoint()),
        m_resumed(m_context, asio::steady_timer::time_point::max()) {
    Listen();
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~Impl() {
    m_context.stop();
    m_thread.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_endpoint.port());
  }

  void SetPaused(bool requests, bool responses) {
    m_requests_paused = requests;
    m_responses_paused = responses;
    if (!requests && !responses) {
      asio::post(m_context, [this] { m_resumed.cancel(); });
    }
  }

  void LimitResponseRate(std::size_t bytes_per_second) {
    m_response_bytes_per_second = bytes_per_second;
  }

  void Refuse(bool refuse) {
    asio::post(m_context, [this, refuse] {
      CloseConnections();
      if (refuse == m_refusing) {
        return;
      }
      m_refusing = refuse;
      if (refuse) {
        // The socket stays bound, so that no other process gets its port.
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
      } else {
        m_acceptor.listen();
        Listen();
      }
    });
  }

  void ResetConnections() {
    asio::post(m_context, [this] { CloseConnections(); });
  }

 private:
  using Socket = std::shared_ptr<tcp::socket>;

  // Returns a listener on a free port. The port is named explicitly, because
  // Linux assigns another one when a socket without it listens again.
  static tcp::acceptor BindToFreePort(asio::io_context& context) {
    for (;;) {
      const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
      const tcp::endpoint endpoint =
          tcp::acceptor(context, any).local_endpoint();
      tcp::acceptor acceptor(context, endpoint.protocol());
      acceptor.set_option(asio::socket_base::reuse_address(true));
      error_code failure;
      acceptor.bind(endpoint, failure);
      if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
      }
      if (!failure) {
        return acceptor;
      }
    }
  }

  void CloseConnections() {
    for (const std::weak_ptr<tcp::socket>& weak : m_sockets) {
      if (const Socket socket = weak.lock()) {
        error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
      }
    }
    m_sockets.clear();
  }

  void Listen() {
    // A process that inherits the listener would keep its port open.
    ::fcntl(m_acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    asio::co_spawn(m_context, Accept(), asio::detached);
  }

  asio::awaitable<void> Accept() {
    for (;;) {
      auto caller = std::make_shared<tcp::socket>(m_context);
      error_code failure;
      co_await m_acceptor.async_accept(
          *caller, asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return;
      }
      asio::co_spawn(m_context, Connect(std::move(caller)), asio::detached);
    }
  }

  asio::awaitable<void> Connect(Socket caller) {
    co_await WaitWhile(m_requests_paused);
    auto upstream = std::make_shared<tcp::socket>(m_context);
    error_code failure;
    co_await upstream->async_connect(
        m_upstream, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return;
    }
    caller->set_option(tcp::no_delay(true), failure);
    upstream->set_option(tcp::no_delay(true), failure);
    m_sockets.emplace_back(caller);
    m_sockets.emplace_back(upstream);
    asio::co_spawn(m_context,
                   Forward(caller, upstream, m_requests_paused, false),
                   asio::detached);
    asio::co_spawn(m_context,
                   Forward(upstream, caller, m_responses_paused, true),
                   asio::detached);
  }

  asio::awaitable<void> Forward(Socket from,
                                Socket to,
                                const std::atomic<bool>& paused,
                                bool limited) {
    std::array<char, 16384> bytes{};
    error_code failure;
    while (!failure) {
      const std::size_t size = co_await from->async_read_some(
          asio::buffer(bytes),
          asio::redirect_error(asio::use_awaitable, failure));
      // A close received while the relay is paused is held back like data.
      co_await WaitWhile(paused);
      if (limited) {
        co_await WaitForRate(size);
      }
      if (!failure) {
        co_await asio::async_write(
            *to, asio::buffer(bytes.data(), size),
            asio::redirect_error(asio::use_awaitable, failure));
      }
    }
    to->shutdown(tcp::socket::shutdown_send, failure);
  }

  // Waits until the rate limit allows `size` more bytes.
  asio::awaitable<void> WaitForRate(std::size_t size) {
    const std::size_t rate = m_response_bytes_per_second;
    if (rate == 0) {
      co_return;
    }
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> time(static_cast<double>(size) /
                                             static_cast<double>(rate));
    m_rate_allows_at =
        std::max(now, m_rate_allows_at) +
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
    asio::steady_timer timer(m_context, m_rate_allows_at);
    error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }

  asio::awaitable<void> WaitWhile(const std::atomic<bool>& paused) {
    while (paused) {
      error_code cancelled;
      co_await m_resumed.async_wait(
          asio::redirect_error(asio::use_awaitable, cancelled));
    }
  }

  asio::io_context m_context{1};
  // Keeps the thread running while the listener is closed.
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_context.get_executor()};
  tcp::endpoint m_upstream;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_endpoint;
  asio::steady_timer m_resumed;
  std::atomic<bool> m_requests_paused = false;
  std::atomic<bool> m_responses_paused = false;
  bool m_refusing = false;
  // Zero for no limit.
  std::atomic<std::size_t> m_response_bytes_per_second = 0;
  std::chrono::steady_clock::time_point m_rate_allows_at;
  std::vector<std::weak_ptr<tcp::socket>> m_sockets;
  std::thread m_thread;
};

Relay::Relay(const std::string& upstream)
    : m_impl(std::make_unique<Impl>(upstream)), m_address(m_impl->address()) {}

Relay::~Relay() = default;

void Relay::Pause() {
  m_impl->SetPaused(true, true);
}

void Relay::PauseResponses() {
  m_impl->SetPaused(false, true);
}

void Relay::ResetConnections() {
  m_impl->ResetConnections();
}

void Relay::LimitResponseRate(std::size_t bytes_per_second) {
  m_impl->LimitResponseRate(bytes_per_second);
}

void Relay::Refuse(bool refuse) {
  m_impl->Refuse(refuse);
}

void Relay::Resume() {
  m_impl->SetPaused(false, false);
}

}  // namespace snipehall::test
