#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace snipehall {

// Size limits and timeouts for callers' connections. The daemon uses the
// defaults; tests shorten the timeouts.
struct CallerLimits {
  // Maximum size of a request's head: request line, header fields and the final
  // empty line.
  static constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;
  // Maximum number of header fields of a request.
  static constexpr std::size_t kMaxHeaderFields = 100;
  // Bodies up to this size are read completely before the request is forwarded,
  // so that a slow sender occupies no slot and the request can be retried.
  // Longer bodies are streamed.
  static constexpr std::uint64_t kMaxBufferedBodyBytes =
      std::uint64_t{32} * 1024;
  // Maximum size of a request body.
  static constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{1} << 30;
  // Maximum input that is read and discarded during a lingering close.
  static constexpr std::size_t kMaxLingerBytes = std::size_t{256} * 1024;

  // Maximum time from the first byte of a request to the end of its head.
  std::chrono::milliseconds head_timeout{10000};
  // Maximum time without input while a body is read.
  std::chrono::milliseconds body_idle_timeout{30000};
  // Maximum idle time between two requests on a connection. Longer than the
  // usual idle timeout of load balancers, so that they close it first.
  std::chrono::milliseconds keep_alive_timeout{75000};
  // Maximum duration of a lingering close after an error response. Closing with
  // unread input would reset the connection and could discard the response.
  std::chrono::milliseconds linger_timeout{1000};
  // While draining, time during which idle connections still accept requests
  // that were already in transit.
  std::chrono::milliseconds drain_grace_period{250};
};

}  // namespace snipehall
