#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace snipehall {

// Limits of what a caller may send, and for how long it may take.
struct CallerLimits {
  // Head of a request, its empty line included, bytes.
  static constexpr std::size_t kHead = std::size_t{16} * 1024;
  static constexpr std::size_t kHeaders = 100;
  // A body of at most this length is read whole before the request is
  // forwarded: a slow sender then holds no slot, and the request can be sent
  // again. Longer bodies are streamed.
  static constexpr std::uint64_t kBufferedBody = std::uint64_t{32} * 1024;
  // Announced length of a body, bytes.
  static constexpr std::uint64_t kBody = std::uint64_t{1} << 30;
  // From the first byte of a request to the end of its head.
  static constexpr std::chrono::seconds kHeadTime{10};
  // Between two pieces of a body.
  static constexpr std::chrono::seconds kBodyIdle{30};
  // Between two requests on a connection. Longer than usual for load
  // balancers, so that they close first.
  static constexpr std::chrono::seconds kKeepAlive{75};
  // A connection that is closed after an error is read on this long, so that
  // the answer is not lost to a reset.
  static constexpr std::chrono::seconds kLinger{1};
  static constexpr std::size_t kLingerBytes = std::size_t{256} * 1024;
  // A draining instance still takes requests that were on their way.
  static constexpr std::chrono::milliseconds kDrainGrace{250};
};

}  // namespace snipehall
