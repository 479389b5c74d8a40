#include "transport/http_log_client.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "protocol/platform_protocol.h"

namespace snipehall {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// The caller limits the number of records of a read, but one snapshot record
// can have several megabytes.
constexpr std::size_t kMaxReadBodyBytes = std::size_t{64} << 20;
constexpr std::size_t kMaxAppendBodyBytes = std::size_t{64} << 10;

// A client error (4xx) is permanent, except 408 (Request Timeout) and 429 (Too
// Many Requests).
auto UnexpectedStatusError(const HttpClientResponse& response) {
  const bool permanent = response.status >= 400 && response.status < 500 &&
                         response.status != 408 && response.status != 429;
  return Fail(permanent ? ErrorCode::kInvalidArgument : ErrorCode::kUnavailable,
              "the log service answered with status " +
                  std::to_string(response.status));
}

Result<LogOffset> DecodeAppendResponse(std::string_view body) {
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(body, error);
  if (error || !json.is_object()) {
    return Fail(ErrorCode::kCorrupt,
                "response to an append is not a JSON object");
  }
  const boost::json::value* offset = json.get_object().if_contains("offset");
  if (offset == nullptr) {
    return Fail(ErrorCode::kCorrupt,
                "response to an append has no field `offset`");
  }
  const LogOffset value = offset->to_number<LogOffset>(error);
  if (error || value == 0) {
    return Fail(ErrorCode::kCorrupt,
                "field `offset` in the response to an append is not a positive "
                "integer");
  }
  return value;
}

}  // namespace

HttpLogClient::HttpLogClient(asio::any_io_executor executor,
                             std::string address,
                             HttpByteCounters* bytes)
    : m_executor(std::move(executor)),
      m_address(std::move(address)),
      m_bytes(bytes),
      m_read_connection(m_executor, m_address, kMaxReadBodyBytes, m_bytes) {}

void HttpLogClient::Close() {
  m_read_connection.Close();
  for (const auto& connection : m_append_connections) {
    connection->Close();
  }
}

asio::awaitable<Result<TimestampedLogRead>> HttpLogClient::Read(
    LogOffset from,
    std::size_t max,
    Milliseconds wait,
    MonotonicTime deadline) {
  HttpClientRequest call;
  call.path = "/v1/records?from=" + std::to_string(from) +
              "&max=" + std::to_string(max) +
              "&wait_ms=" + std::to_string(wait.count());
  Result<HttpClientResponse> response =
      co_await m_read_connection.Exchange(std::move(call), deadline);
  if (response.has_error()) {
    co_return response.error();
  }
  // 410 means that `from` is no longer retained. Its body has the usual fields
  // and no records.
  if (response.value().status != 200 && response.value().status != 410) {
    co_return UnexpectedStatusError(response.value());
  }
  Result<LogRead> read = ParseLogRead(response.value().body);
  if (read.has_error()) {
    co_return read.error();
  }
  co_return TimestampedLogRead{response.value().sent, std::move(read).value()};
}

asio::awaitable<Result<LogOffset>> HttpLogClient::Append(
    std::string data,
    MonotonicTime deadline) {
  const std::shared_ptr<HttpConnection> connection = AcquireAppendConnection();
  HttpClientRequest call;
  call.verb = http::verb::post;
  call.path = "/v1/records";
  call.body = std::move(data);
  call.retriable = false;
  const Result<HttpClientResponse> response =
      co_await connection->Exchange(std::move(call), deadline);
  if (response.has_error()) {
    co_return response.error();
  }
  if (response.value().status / 100 != 2) {
    co_return UnexpectedStatusError(response.value());
  }
  co_return DecodeAppendResponse(response.value().body);
}

std::shared_ptr<HttpConnection> HttpLogClient::AcquireAppendConnection() {
  for (const auto& connection : m_append_connections) {
    if (connection.use_count() == 1) {
      return connection;
    }
  }
  m_append_connections.push_back(std::make_shared<HttpConnection>(
      m_executor, m_address, kMaxAppendBodyBytes, m_bytes));
  return m_append_connections.back();
}

}  // namespace snipehall
