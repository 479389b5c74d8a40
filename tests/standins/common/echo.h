#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace snipehall::standin {

// Request headers that control the target stand-in: the service time in
// milliseconds and the size of the response body in bytes.
inline constexpr std::string_view kWorkHeader = "X-Work-Ms";
inline constexpr std::string_view kReplyBytesHeader = "X-Reply-Bytes";

// Response headers of the target stand-in: its id, its load as
// "outstanding/slots", and the id, body size and body hash of the request.
inline constexpr std::string_view kTargetIdHeader = "Target-Id";
inline constexpr std::string_view kTargetLoadHeader = "Target-Load";
inline constexpr std::string_view kEchoIdHeader = "Echo-Request-Id";
inline constexpr std::string_view kEchoBytesHeader = "Echo-Body-Bytes";
inline constexpr std::string_view kEchoHashHeader = "Echo-Body-Xxh3";

// Returns the response body for a request without `kReplyBytesHeader`. It
// contains the target's id and the request's id, method, path, body size and
// body hash, so that a client can detect a response to another request.
std::string SmallReply(std::string_view target,
                       std::string_view request_id,
                       std::string_view method,
                       std::string_view path,
                       std::string_view body);

// Returns the response body for a request with `kReplyBytesHeader`: `size`
// bytes of a sequence that is seeded with the request id and does not repeat.
std::string LargeReply(std::string_view request_id, std::size_t size);

}  // namespace snipehall::standin
