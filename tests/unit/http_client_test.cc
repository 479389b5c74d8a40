#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <istream>
#include <optional>
#include <string>
#include <thread>

#include "protocol/target_protocol.h"
#include "transport/http_log_client.h"
#include "transport/http_target_client.h"
#include "transport/spawn.h"
#include "transport/tcp_endpoint.h"

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using snipehall::ErrorCode;
using snipehall::MonotonicTime;
using snipehall::Result;

MonotonicTime In(snipehall::Milliseconds time) {
  return std::chrono::steady_clock::now() + time;
}

// Listens on loopback and runs `serve` for each connection on a thread, one
// after the other, until the server is destroyed.
class FakeServer {
 public:
  explicit FakeServer(std::function<void(tcp::socket&)> serve)
      : m_acceptor(m_context, tcp::endpoint(tcp::v4(), 0)),
        m_thread([this, serve = std::move(serve)] {
          boost::system::error_code error;
          while (true) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (error || m_stopping) {
              return;
            }
            serve(socket);
            socket.close(error);
            ++m_closed;
          }
        }) {}

  ~FakeServer() {
    m_stopping = true;
    tcp::socket wake(m_context);
    boost::system::error_code ignored;
    wake.connect(m_acceptor.local_endpoint(), ignored);
    m_thread.join();
  }

  // Waits until `count` connections have been closed. On loopback the other
  // side can see the end of a connection as soon as it is closed here.
  bool AwaitClosed(int count) const {
    const MonotonicTime deadline = In(5000ms);
    while (m_closed < count && In(0ms) < deadline) {
      std::this_thread::yield();
    }
    return m_closed >= count;
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

 private:
  boost::asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::atomic<bool> m_stopping = false;
  std::atomic<int> m_closed = 0;
  std::thread m_thread;
};

// Reads the head of a request and returns its first line, or nothing when the
// connection was closed.
std::string ReadHead(tcp::socket& socket) {
  boost::asio::streambuf buffer;
  boost::system::error_code error;
  boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
  std::string line;
  std::istream stream(&buffer);
  std::getline(stream, line);
  return error ? std::string() : line;
}

void Answer(tcp::socket& socket,
            const std::string& status,
            const std::string& body) {
  boost::system::error_code ignored;
  boost::asio::write(
      socket,
      boost::asio::buffer("HTTP/1.1 " + status + "\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body),
      ignored);
}

template <typename T>
T Run(boost::asio::io_context& context, boost::asio::awaitable<T> task) {
  std::optional<T> result;
  const auto wrap =
      [&](boost::asio::awaitable<T> inner) -> boost::asio::awaitable<void> {
    result = co_await std::move(inner);
  };
  snipehall::Spawn(context.get_executor(), wrap(std::move(task)));
  context.restart();
  context.run_for(5s);
  return std::move(*result);
}

// The controller treats a refused connection and an unresponsive target
// differently.
Test(http_client, refused_connection_is_told_from_a_time_out) {
  boost::asio::io_context context;
  tcp::acceptor silent(context, tcp::endpoint(tcp::v4(), 0));
  const auto silent_port = silent.local_endpoint().port();
  std::string refused;
  {
    const tcp::acceptor closed(context, tcp::endpoint(tcp::v4(), 0));
    refused = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  }
  snipehall::HttpTargetClient refusing(context.get_executor(), refused);
  const auto first = Run(context, refusing.QueryStatus(In(1000ms)));
  cr_assert(first.error().code == ErrorCode::kRefused);

  snipehall::HttpTargetClient waiting(
      context.get_executor(), "127.0.0.1:" + std::to_string(silent_port));
  const MonotonicTime began = In(0ms);
  const auto second = Run(context, waiting.QueryStatus(In(50ms)));
  cr_assert(second.error().code == ErrorCode::kTimeout);
  cr_assert(In(0ms) - began < 1000ms);
}

// A service that closes idle connections, or was restarted, must not cost a
// failed call; an append is not sent twice for that.
Test(http_client, kept_connection_that_was_closed_is_replaced) {
  int requests = 0;
  FakeServer server([&requests](tcp::socket& socket) {
    if (!ReadHead(socket).empty()) {
      ++requests;
      Answer(socket, "200 OK", R"({"offset": 7})");
    }
  });
  boost::asio::io_context context;
  snipehall::HttpLogClient log(context.get_executor(), server.address());
  for (int i = 0; i < 5; ++i) {
    const auto offset = Run(context, log.Append("{}", In(1000ms)));
    cr_assert(offset.has_value());
    cr_assert_eq(offset.value(), 7);
    // An append that is sent before the connection is seen to be closed has an
    // unknown outcome and may fail.
    cr_assert(server.AwaitClosed(i + 1));
  }
  cr_assert_eq(requests, 5);
}

// An append whose reply is lost has an unknown outcome: it must not be repeated
// by the client, and must not be reported as refused.
Test(http_client, lost_append_reply_is_not_repeated) {
  int requests = 0;
  FakeServer server([&requests](tcp::socket& socket) {
    requests += ReadHead(socket).empty() ? 0 : 1;
  });
  boost::asio::io_context context;
  snipehall::HttpLogClient log(context.get_executor(), server.address());
  const auto offset = Run(context, log.Append("{}", In(1000ms)));
  cr_assert(offset.error().code == ErrorCode::kUnavailable);
  cr_assert_eq(requests, 1);
}

// A reader below the retained records must learn where they begin.
Test(http_client, read_below_the_retained_records_reports_the_first) {
  FakeServer server([](tcp::socket& socket) {
    const std::string line = ReadHead(socket);
    const bool expected = line.find("from=3&max=10&wait_ms=20") != line.npos;
    Answer(socket, expected ? "410 Gone" : "500 Unexpected",
           R"({"first": 500, "end": 700, "records": []})");
  });
  boost::asio::io_context context;
  snipehall::HttpLogClient log(context.get_executor(), server.address());
  const auto read = Run(context, log.Read(3, 10, 20ms, In(1000ms)));
  cr_assert(read.has_value());
  cr_assert_eq(read.value().read.first_offset, 500);
  cr_assert_eq(read.value().read.end_offset, 700);
}

// A refusal by a target carries its state, which the controller needs.
Test(http_client, refused_order_is_an_answer) {
  FakeServer server([](tcp::socket& socket) {
    snipehall::LeaseAnswer answer;
    answer.incarnation = 5;
    answer.assignment_version = 9;
    ReadHead(socket);
    Answer(socket, "409 Conflict", snipehall::EncodeLeaseAnswer(answer));
  });
  boost::asio::io_context context;
  snipehall::HttpTargetClient target(context.get_executor(), server.address());
  const auto answer =
      Run(context, target.SendOrder(snipehall::LeaseOrder{}, In(1000ms)));
  cr_assert(answer.has_value());
  cr_assert(!answer.value().answer.accepted);
  cr_assert_eq(answer.value().answer.assignment_version, 9);
}

// The event loop of the daemon must end while a call is in progress.
Test(http_client, close_ends_a_call_in_progress) {
  boost::asio::io_context context;
  const tcp::acceptor silent(context, tcp::endpoint(tcp::v4(), 0));
  snipehall::HttpTargetClient target(
      context.get_executor(),
      "127.0.0.1:" + std::to_string(silent.local_endpoint().port()));
  boost::asio::steady_timer timer(context, 20ms);
  timer.async_wait([&target](boost::system::error_code) { target.Close(); });
  const auto answer = Run(context, target.QueryStatus(In(4000ms)));
  cr_assert(answer.error().code == ErrorCode::kUnavailable);
}

// A name would be resolved on the event loop, which blocks it.
Test(tcp_endpoint, only_ip_numbers_are_taken) {
  cr_assert(snipehall::ParseTcpEndpoint("127.0.0.1:80").has_value());
  cr_assert(snipehall::ParseTcpEndpoint("[::1]:80").has_value());
  for (const char* text : {"localhost:80", "127.0.0.1",
                           "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x"}) {
    cr_assert(snipehall::ParseTcpEndpoint(text).has_error(), "%s", text);
  }
}

}  // namespace
