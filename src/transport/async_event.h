#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <type_traits>
#include <utility>

#include "transport/asio_types.h"

namespace snipehall {

// Lets one coroutine wait until another handler of the same thread notifies
// it. Keeps no state: the waiter checks its own condition in a loop.
class AsyncEvent {
 public:
  explicit AsyncEvent(const Executor& executor) : m_executor(executor) {}

  // Waits for the next Notify(). At most one coroutine waits at a time.
  Task<void> Wait() {
    boost::asio::use_awaitable_t<Executor> token;
    co_await boost::asio::async_initiate<boost::asio::use_awaitable_t<Executor>,
                                         void()>(
        [this](auto handler) {
          m_waiter =
              std::make_unique<Waiter<decltype(handler)>>(std::move(handler));
        },
        token);
  }

  void Notify() {
    if (m_waiter) {
      std::exchange(m_waiter, nullptr)->Resume(m_executor);
    }
  }

 private:
  struct WaiterBase {
    virtual ~WaiterBase() = default;
    virtual void Resume(const Executor& executor) = 0;
  };

  template <typename Handler>
  struct Waiter : WaiterBase {
    explicit Waiter(Handler&& handler) : m_handler(std::move(handler)) {}
    // Posted rather than called, so that a notifying coroutine is never
    // re-entered.
    void Resume(const Executor& executor) override {
      boost::asio::post(executor, std::move(m_handler));
    }
    Handler m_handler;
  };

  Executor m_executor;
  std::unique_ptr<WaiterBase> m_waiter;
};

}  // namespace snipehall
