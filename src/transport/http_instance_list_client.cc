#include "transport/http_instance_list_client.h"

#include <utility>

#include "protocol/platform_protocol.h"

namespace snipehall {
namespace {

// 1,500 nodes of about 200 bytes each take 300 kB; the rest is headroom.
constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20;

}  // namespace

HttpInstanceListClient::HttpInstanceListClient(
    boost::asio::any_io_executor executor,
    std::string address,
    HttpByteCounters* bytes)
    : m_connection(std::move(executor),
                   std::move(address),
                   kMaxBodyBytes,
                   bytes) {}

boost::asio::awaitable<Result<std::vector<PlatformInstance>>>
HttpInstanceListClient::Fetch(MonotonicTime deadline) {
  HttpClientRequest call;
  call.path = "/v1/instances";
  const Result<HttpClientResponse> response =
      co_await m_connection.Exchange(std::move(call), deadline);
  if (response.has_error()) {
    co_return response.error();
  }
  if (response.value().status != 200) {
    co_return Fail(ErrorCode::kUnavailable,
                   "instance list service responded with HTTP status " +
                       std::to_string(response.value().status));
  }
  co_return DecodeInstanceList(response.value().body);
}

}  // namespace snipehall
