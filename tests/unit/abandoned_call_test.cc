#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>

#include "transport/http_connection.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

using boost::asio::ip::tcp;

boost::asio::awaitable<void> ExchangeWithTimeout(HttpConnection& connection,
                                                 bool& failed) {
  HttpClientRequest request;
  const Result<HttpClientResponse> response = co_await connection.Exchange(
      std::move(request), std::chrono::steady_clock::now() + Milliseconds(50));
  failed = response.has_error();
}

// Guards against a request that takes effect after its call has timed out.
// After a network partition, an orderly close would still deliver the data that
// the partition delayed, so the connection must be reset.
Test(abandoned_call, connection_is_reset_when_a_call_times_out) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  tcp::socket peer(io);
  acceptor.async_accept(peer, [](const boost::system::error_code&) {});
  HttpConnection connection(io.get_executor(), address, 1024);
  bool failed = false;
  boost::asio::co_spawn(io, ExchangeWithTimeout(connection, failed),
                        boost::asio::detached);
  io.run();
  cr_assert(failed);
  std::string received(4096, '\0');
  boost::system::error_code error;
  boost::asio::read(peer, boost::asio::buffer(received), error);
  cr_assert(error == boost::asio::error::connection_reset, "%s",
            error.message().c_str());
}

}  // namespace
}  // namespace snipehall
