#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

namespace snipehall {

// Starts `task` on `executor` without waiting for it. An exception thrown by
// the task propagates out of the event loop's run() instead of being discarded.
inline void Spawn(const boost::asio::any_io_executor& executor,
                  boost::asio::awaitable<void> task) {
  boost::asio::co_spawn(executor, std::move(task),
                        [](const std::exception_ptr& exception) {
                          if (exception) {
                            std::rethrow_exception(exception);
                          }
                        });
}

}  // namespace snipehall
