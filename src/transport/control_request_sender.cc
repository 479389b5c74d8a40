#include "transport/control_request_sender.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "protocol/http_head_checks.h"
#include "transport/deadline_timer.h"
#include "transport/view_body.h"

namespace snipehall {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

}  // namespace

void ControlRequestSender::SendCancellation(std::string_view address,
                                            std::string_view request_id) {
  boost::json::object body;
  body["request_id"] = request_id;
  const std::string text = boost::json::serialize(body);
  StartRequest(
      address,
      "POST /control/cancel HTTP/1.1\r\nHost: " + std::string(address) +
          "\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(text.size()) + "\r\n\r\n" + text,
      nullptr);
}

void ControlRequestSender::SendHealthProbe(std::string_view address,
                                           std::function<void()> on_success) {
  StartRequest(
      address,
      "GET /health HTTP/1.1\r\nHost: " + std::string(address) + "\r\n\r\n",
      std::move(on_success));
}

void ControlRequestSender::Close() {
  m_closed = true;
  for (ByteStream* stream : m_streams) {
    stream->Cancel();
  }
}

void ControlRequestSender::StartRequest(std::string_view address,
                                        std::string message,
                                        std::function<void()> on_success) {
  std::shared_ptr<TargetPool> pool = m_pools.Find(address);
  if (m_closed || !pool || m_in_flight >= kMaxInFlight ||
      !pool->HasCapacity()) {
    return;
  }
  ++m_in_flight;
  boost::asio::co_spawn(
      m_executor,
      RunRequest(std::move(pool), std::move(message), std::move(on_success)),
      boost::asio::detached);
}

Task<void> ControlRequestSender::RunRequest(std::shared_ptr<TargetPool> pool,
                                            std::string message,
                                            std::function<void()> on_success) {
  std::shared_ptr<ByteStream> stream = pool->TakeIdle();
  const bool reused = stream != nullptr;
  if (!reused) {
    stream = pool->NewStream(m_executor);
  }
  TargetPool::PooledConnection lease(pool, stream);
  m_streams.insert(stream.get());
  const auto timer = std::make_shared<DeadlineTimer>(
      m_executor, [raw = stream.get()] { raw->Close(); });
  timer->Arm(std::chrono::steady_clock::now() + kTimeout);
  error_code error;
  if (!reused) {
    const auto [connect_error] =
        co_await stream->socket().async_connect(pool->endpoint(), kAsTuple);
    error = connect_error;
  }
  bool succeeded = false;
  if (!error && !m_closed) {
    succeeded = co_await Exchange(*stream, message);
  }
  timer->Close();
  m_streams.erase(stream.get());
  stream.reset();
  --m_in_flight;
  if (succeeded) {
    lease.Reuse();
    if (on_success) {
      on_success();
    }
  }
}

Task<bool> ControlRequestSender::Exchange(ByteStream& stream,
                                          std::string_view message) {
  std::size_t written = 0;
  error_code error = co_await stream.Write(
      {boost::asio::buffer(message.data(), message.size()), {}, {}, {}},
      written);
  std::size_t size = 0;
  while (!error && (size = FindHeadEnd(stream.data())) == 0) {
    error = co_await stream.Fill();
  }
  if (error) {
    co_return false;
  }
  http::response_parser<ViewBody> parser;
  const std::size_t used =
      parser.put(boost::asio::buffer(stream.data().data(), size), error);
  stream.Consume(used);
  while (!error && !parser.is_done()) {
    BodyFragment piece;
    error = co_await ReadBodyFragment(stream, parser, piece);
    stream.Consume(piece.consumed);
  }
  co_return !error && parser.keep_alive() &&
      parser.get().result() == http::status::ok;
}

}  // namespace snipehall
