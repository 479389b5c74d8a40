#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <type_traits>
#include <utility>

#include "transport/asio_types.h"

namespace snipehall {

// Condition variable for one waiting coroutine and the handlers that notify it.
// All of them must run on the thread of the executor; it is not thread-safe.
//
// Call Wait() in a loop that checks the condition first: a notification without
// a waiter is lost, and the condition may change again between Notify() and the
// resumption of the waiter. If the event is destroyed during a Wait(), the
// waiting coroutine is destroyed without being resumed. A
// cancellation signal does not end Wait().
class AsyncEvent {
 public:
  explicit AsyncEvent(const Executor& executor) : m_executor(executor) {}

  // Suspends the calling coroutine until the next Notify(). At most one
  // coroutine may wait at a time.
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

  // Schedules the resumption of the waiting coroutine, which does not run
  // before this call returns. Has no effect when none is waiting.
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
    // Posts the handler instead of calling it, so that the waiter does not run
    // inside Notify().
    void Resume(const Executor& executor) override {
      boost::asio::post(executor, std::move(m_handler));
    }
    Handler m_handler;
  };

  Executor m_executor;
  std::unique_ptr<WaiterBase> m_waiter;
};

}  // namespace snipehall
