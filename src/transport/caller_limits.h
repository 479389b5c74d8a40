#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace snipehall {

// Limits of what a caller may send, and for how long it may take. The defaults
// are in force in the daemon; tests shorten the times.
struct CallerLimits {
  // Head of a request, its empty line included, bytes.
  static constexpr std::size_t kHead = std::size_t{16} * 1024;
  static constexpr std::size_t kHeaders = 100;
  // A body of at most this length is read whole before the request is
  // forwarded: a slow sender then holds no slot, and the request can be sent
  // again. Longer bodies are streamed.
  static constexpr std::uint64_t kBufferedBody = std::uint64_t{32} * 1024;
  // Length of a body, bytes.
  static constexpr std::uint64_t kBody = std::uint64_t{1} << 30;
  // What is read and dropped of a connection that is closed after an error.
  static constexpr std::size_t kLingerBytes = std::size_t{256} * 1024;

  // From the first byte of a request to the end of its head.
  std::chrono::milliseconds head_time{10000};
  // Between two pieces of a body.
  std::chrono::milliseconds body_idle{30000};
  // Between two requests on a connection. Longer than usual for load
  // balancers, so that they close first.
  std::chrono::milliseconds keep_alive{75000};
  // A connection that is closed after an error is read on this long, so that
  // the answer is not lost to a reset.
  std::chrono::milliseconds linger{1000};
  // A draining instance still takes requests that were on their way.
  std::chrono::milliseconds drain_grace{250};
};

}  // namespace snipehall
