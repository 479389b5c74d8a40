#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace snipehall::standin {

// Headers of a request that say how the target stand-in serves it.
inline constexpr std::string_view kWorkHeader = "X-Work-Ms";
inline constexpr std::string_view kReplyBytesHeader = "X-Reply-Bytes";

// Headers of the target stand-in's answers.
inline constexpr std::string_view kTargetIdHeader = "Target-Id";
inline constexpr std::string_view kTargetLoadHeader = "Target-Load";
inline constexpr std::string_view kEchoIdHeader = "Echo-Request-Id";
inline constexpr std::string_view kEchoBytesHeader = "Echo-Body-Bytes";
inline constexpr std::string_view kEchoHashHeader = "Echo-Body-Xxh3";

// Body of the answer to a request that states no size: the target, and from
// the request its id, method, path and body. It lets a client notice an answer
// that belongs to another request.
std::string SmallReply(std::string_view target,
                       std::string_view request_id,
                       std::string_view method,
                       std::string_view path,
                       std::string_view body);

// Body of the answer to a request that states a size: `size` bytes that differ
// from one request id to the next and within the body.
std::string LargeReply(std::string_view request_id, std::size_t size);

}  // namespace snipehall::standin
