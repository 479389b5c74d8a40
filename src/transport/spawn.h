#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

namespace snipehall {

// Runs `task` on `executor`. An exception that leaves the task leaves the event
// loop's run(), rather than being lost with the task.
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
