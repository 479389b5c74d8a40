#pragma once

#include <boost/asio/error.hpp>
#include <utility>

#include "state/types.h"
#include "transport/asio_types.h"

namespace snipehall {

// Delay before the next accept after one failed, usually because the process
// ran out of file descriptors.
inline constexpr Milliseconds kAcceptRetryDelay{20};

// Maximum number of connections accepted at once, so that a burst of them does
// not hold up other work.
inline constexpr int kMaxAcceptBatch = 64;

// Accepts connections until `acceptor`, which must be non-blocking, is closed,
// and passes the socket of each to `on_connection`. Accepts all connections
// that are waiting, up to kMaxAcceptBatch, before other handlers run: one for
// each pass of the event loop would be too slow when the loop is busy.
template <typename Acceptor, typename OnConnection>
Task<void> AcceptConnections(const Executor& executor,
                             Acceptor& acceptor,
                             OnConnection on_connection) {
  Timer pause(executor);
  while (acceptor.is_open()) {
    Socket first(executor);
    auto [error] = co_await acceptor.async_accept(first, kAsTuple);
    if (!error) {
      on_connection(std::move(first));
    }
    for (int i = 1; i < kMaxAcceptBatch && !error; ++i) {
      Socket next(executor);
      acceptor.accept(next, error);
      if (!error) {
        on_connection(std::move(next));
      }
    }
    if (error && error != boost::asio::error::would_block &&
        acceptor.is_open()) {
      pause.expires_after(kAcceptRetryDelay);
      co_await pause.async_wait(kAsTuple);
    }
  }
}

}  // namespace snipehall
