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
#include "transport/http_connection.h"
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

MonotonicTime FromNow(snipehall::Milliseconds time) {
  return std::chrono::steady_clock::now() + time;
}

// Listens on a loopback port and calls `serve` for each connection, one after
// the other on one thread, until the server is destroyed.
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
            ++m_closed_connections;
          }
        }) {}

  ~FakeServer() {
    m_stopping = true;
    tcp::socket wakeup_socket(m_context);
    boost::system::error_code ignored;
    wakeup_socket.connect(m_acceptor.local_endpoint(), ignored);
    m_thread.join();
  }

  // Waits until `count` connections have been closed and returns whether they
  // were. On loopback, the peer can detect that a connection is closed as soon
  // as it is closed here.
  bool AwaitClosed(int count) const {
    const MonotonicTime deadline = FromNow(5000ms);
    while (m_closed_connections < count && FromNow(0ms) < deadline) {
      std::this_thread::yield();
    }
    return m_closed_connections >= count;
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

 private:
  boost::asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::atomic<bool> m_stopping = false;
  std::atomic<int> m_closed_connections = 0;
  std::thread m_thread;
};

// Reads the head of a request and returns its first line, or an empty string
// when the connection was closed.
std::string ReadRequestLine(tcp::socket& socket) {
  boost::asio::streambuf buffer;
  boost::system::error_code error;
  boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
  std::string line;
  std::istream stream(&buffer);
  std::getline(stream, line);
  return error ? std::string() : line;
}

void SendResponse(tcp::socket& socket,
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

// Guards against reporting a refused connection as a timeout or the reverse.
// The controller handles a refused connection and an unresponsive target
// differently.
Test(http_client, refused_connection_and_timeout_are_distinguished) {
  boost::asio::io_context context;
  tcp::acceptor unresponsive(context, tcp::endpoint(tcp::v4(), 0));
  const auto unresponsive_port = unresponsive.local_endpoint().port();
  std::string closed_address;
  {
    const tcp::acceptor closed(context, tcp::endpoint(tcp::v4(), 0));
    closed_address =
        "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  }
  snipehall::HttpTargetClient refused_client(context.get_executor(),
                                             closed_address);
  const auto refused_result =
      Run(context, refused_client.QueryStatus(FromNow(1000ms)));
  cr_assert(refused_result.error().code == ErrorCode::kRefused);

  snipehall::HttpTargetClient timed_out_client(
      context.get_executor(), "127.0.0.1:" + std::to_string(unresponsive_port));
  const MonotonicTime started_at = FromNow(0ms);
  const auto timeout_result =
      Run(context, timed_out_client.QueryStatus(FromNow(50ms)));
  cr_assert(timeout_result.error().code == ErrorCode::kTimeout);
  cr_assert(FromNow(0ms) - started_at < 1000ms);
}

// Guards against calls that fail because the service closed an idle connection
// or was restarted, and against sending an append twice for that reason.
Test(http_client, closed_persistent_connection_is_replaced) {
  int requests = 0;
  FakeServer server([&requests](tcp::socket& socket) {
    if (!ReadRequestLine(socket).empty()) {
      ++requests;
      SendResponse(socket, "200 OK", R"({"offset": 7})");
    }
  });
  boost::asio::io_context context;
  snipehall::HttpLogClient log(context.get_executor(), server.address());
  for (int i = 0; i < 5; ++i) {
    const auto offset = Run(context, log.Append("{}", FromNow(1000ms)));
    cr_assert(offset.has_value());
    cr_assert_eq(offset.value(), 7);
    // An append that is sent before the client detects that the connection is
    // closed has an unknown outcome and may fail.
    cr_assert(server.AwaitClosed(i + 1));
  }
  cr_assert_eq(requests, 5);
}

// Guards against an append that is resent, or reported as refused, when its
// response is lost. The outcome of such an append is unknown.
Test(http_client, append_with_lost_response_is_not_resent) {
  int requests = 0;
  FakeServer server([&requests](tcp::socket& socket) {
    requests += ReadRequestLine(socket).empty() ? 0 : 1;
  });
  boost::asio::io_context context;
  snipehall::HttpLogClient log(context.get_executor(), server.address());
  const auto offset = Run(context, log.Append("{}", FromNow(1000ms)));
  cr_assert(offset.error().code == ErrorCode::kUnavailable);
  cr_assert_eq(requests, 1);
}

// Guards against a reader that requests records which the log has already
// removed and does not learn the offset of the first retained one.
Test(http_client, read_below_the_retained_records_reports_the_first) {
  FakeServer server([](tcp::socket& socket) {
    const std::string line = ReadRequestLine(socket);
    const bool expected = line.find("from=3&max=10&wait_ms=20") != line.npos;
    SendResponse(socket, expected ? "410 Gone" : "500 Unexpected",
                 R"({"first": 500, "end": 700, "records": []})");
  });
  boost::asio::io_context context;
  snipehall::HttpLogClient log(context.get_executor(), server.address());
  const auto read = Run(context, log.Read(3, 10, 20ms, FromNow(1000ms)));
  cr_assert(read.has_value());
  cr_assert_eq(read.value().read.first_offset, 500);
  cr_assert_eq(read.value().read.end_offset, 700);
}

// Guards against dropping the body of a refused order: it contains the state of
// the target, which the controller needs.
Test(http_client, refused_order_is_reported_as_an_answer) {
  FakeServer server([](tcp::socket& socket) {
    snipehall::LeaseAnswer answer;
    answer.incarnation = 5;
    answer.assignment_version = 9;
    ReadRequestLine(socket);
    SendResponse(socket, "409 Conflict", snipehall::EncodeLeaseAnswer(answer));
  });
  boost::asio::io_context context;
  snipehall::HttpTargetClient target(context.get_executor(), server.address());
  const auto answer =
      Run(context, target.SendOrder(snipehall::LeaseOrder{}, FromNow(1000ms)));
  cr_assert(answer.has_value());
  cr_assert(!answer.value().answer.accepted);
  cr_assert_eq(answer.value().answer.assignment_version, 9);
}

// Guards against a call in progress that keeps the daemon's event loop from
// ending.
Test(http_client, close_ends_a_call_in_progress) {
  boost::asio::io_context context;
  const tcp::acceptor unresponsive(context, tcp::endpoint(tcp::v4(), 0));
  snipehall::HttpTargetClient target(
      context.get_executor(),
      "127.0.0.1:" + std::to_string(unresponsive.local_endpoint().port()));
  boost::asio::steady_timer timer(context, 20ms);
  timer.async_wait([&target](boost::system::error_code) { target.Close(); });
  const auto answer = Run(context, target.QueryStatus(FromNow(4000ms)));
  cr_assert(answer.error().code == ErrorCode::kUnavailable);
}

// Guards against host names in addresses. Resolving one would block the event
// loop.
Test(tcp_endpoint, only_ip_addresses_are_accepted) {
  cr_assert(snipehall::ParseTcpEndpoint("127.0.0.1:80").has_value());
  cr_assert(snipehall::ParseTcpEndpoint("[::1]:80").has_value());
  for (const char* text : {"localhost:80", "127.0.0.1",
                           "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x"}) {
    cr_assert(snipehall::ParseTcpEndpoint(text).has_error(), "%s", text);
  }
}

boost::asio::awaitable<void> ReadRecords(
    snipehall::HttpConnection& connection,
    std::optional<Result<snipehall::HttpClientResponse>>& response) {
  snipehall::HttpClientRequest call;
  call.path = "/records";
  response = co_await connection.Exchange(std::move(call), FromNow(5000ms));
}

// Guards against reading a response in pieces of 512 bytes, each of which waits
// for its turn on a busy event loop.
Test(http_client, large_response_takes_few_turns_of_the_event_loop) {
  const std::string body(std::size_t{1} << 20, 'x');
  FakeServer server([&body](tcp::socket& socket) {
    ReadRequestLine(socket);
    SendResponse(socket, "200 OK", body);
    ReadRequestLine(socket);
  });
  boost::asio::io_context context;
  snipehall::HttpConnection connection(context.get_executor(), server.address(),
                                       body.size());
  std::optional<Result<snipehall::HttpClientResponse>> response;
  snipehall::Spawn(context.get_executor(), ReadRecords(connection, response));
  int turns = 0;
  while (!response && context.run_one_for(5s) > 0) {
    ++turns;
  }
  cr_assert(response.has_value());
  cr_assert(response->has_value());
  cr_assert_eq(response->value().body.size(), body.size());
  cr_assert_lt(turns, 1000);
  connection.Close();
}

// Guards against dropping what has arrived of a response because the deadline
// of the call has passed.
Test(http_client, response_in_transfer_may_take_longer_than_the_deadline) {
  const std::string body(100, 'x');
  FakeServer server([&body](tcp::socket& socket) {
    ReadRequestLine(socket);
    boost::system::error_code ignored;
    boost::asio::write(
        socket,
        boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n"),
        ignored);
    for (const char byte : body) {
      boost::asio::write(socket, boost::asio::buffer(&byte, 1), ignored);
      std::this_thread::sleep_for(3ms);
    }
  });
  boost::asio::io_context context;
  snipehall::HttpConnection connection(context.get_executor(), server.address(),
                                       body.size());
  const MonotonicTime deadline = FromNow(100ms);
  const auto complete = Run(
      context, connection.Exchange(
                   {.path = "/records", .transfer_deadline = deadline + 4000ms},
                   deadline));
  cr_assert(complete.has_value());
  cr_assert_eq(complete.value().body, body);
  const auto late =
      Run(context, connection.Exchange({.path = "/records"}, FromNow(100ms)));
  cr_assert(late.error().code == ErrorCode::kTimeout);
}

// Guards against waiting for a peer that has vanished in the middle of its
// response until the transfer would have to end.
Test(http_client, stalled_transfer_is_given_up) {
  FakeServer server([](tcp::socket& socket) {
    ReadRequestLine(socket);
    boost::system::error_code ignored;
    boost::asio::write(socket,
                       boost::asio::buffer(std::string(
                           "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nx")),
                       ignored);
    ReadRequestLine(socket);
  });
  boost::asio::io_context context;
  snipehall::HttpConnection connection(context.get_executor(), server.address(),
                                       100);
  const MonotonicTime began_at = FromNow(0ms);
  const auto stalled = Run(
      context, connection.Exchange(
                   {.path = "/records", .transfer_deadline = began_at + 20s},
                   began_at + 100ms));
  cr_assert(stalled.error().code == ErrorCode::kTimeout);
  cr_assert_lt(FromNow(0ms) - began_at, 3s);
}

}  // namespace
