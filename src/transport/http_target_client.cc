#include "transport/http_target_client.h"

#include <utility>

#include "protocol/target_protocol.h"

namespace snipehall {
namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 10;

}  // namespace

HttpTargetClient::HttpTargetClient(boost::asio::any_io_executor executor,
                                   std::string address,
                                   HttpByteCounters* bytes)
    : m_connection(std::move(executor),
                   std::move(address),
                   kMaxBodyBytes,
                   bytes) {}

boost::asio::awaitable<Result<TimestampedLeaseResponse>>
HttpTargetClient::SendOrder(const LeaseOrder& order, MonotonicTime deadline) {
  HttpClientRequest call;
  call.verb = boost::beast::http::verb::post;
  call.path = "/control/lease";
  call.body = EncodeLeaseOrder(order);
  return Exchange(std::move(call), deadline);
}

boost::asio::awaitable<Result<TimestampedLeaseResponse>>
HttpTargetClient::QueryStatus(MonotonicTime deadline) {
  HttpClientRequest call;
  call.path = "/control/status";
  return Exchange(std::move(call), deadline);
}

boost::asio::awaitable<Result<TimestampedLeaseResponse>>
HttpTargetClient::Exchange(HttpClientRequest call, MonotonicTime deadline) {
  const Result<HttpClientResponse> response =
      co_await m_connection.Exchange(std::move(call), deadline);
  if (response.has_error()) {
    co_return response.error();
  }
  const unsigned status = response.value().status;
  // 409 means that the target refused the order.
  if (status != 200 && status != 409) {
    co_return Fail(
        ErrorCode::kUnavailable,
        "target responded with HTTP status " + std::to_string(status));
  }
  Result<LeaseAnswer> answer = DecodeLeaseAnswer(response.value().body);
  if (answer.has_error()) {
    co_return answer.error();
  }
  answer.value().accepted = status == 200;
  co_return TimestampedLeaseResponse{response.value().sent,
                                     std::move(answer).value()};
}

}  // namespace snipehall
