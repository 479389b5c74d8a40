#pragma once

#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <memory>

#include "transport/asio_types.h"

namespace snipehall::test {

// Keeps an event loop busy with handlers that are always ready, so that each
// pass over the ready handlers takes `kPassTime`. The loop must run on another
// thread, until after this object is destroyed.
class BusyLoop {
 public:
  static constexpr int kHandlers = 200;
  static constexpr std::chrono::microseconds kPassTime{50000};

  explicit BusyLoop(const Executor& executor)
      : m_executor(executor), m_state(std::make_shared<State>()) {
    boost::asio::post(m_executor, [executor, state = m_state] {
      for (int i = 0; i < kHandlers; ++i) {
        Repeat(executor, state);
      }
    });
  }
  ~BusyLoop() {
    std::promise<void> stopped;
    boost::asio::post(m_executor, [&] {
      m_state->stopped = true;
      stopped.set_value();
    });
    stopped.get_future().wait();
  }
  BusyLoop(const BusyLoop&) = delete;
  BusyLoop& operator=(const BusyLoop&) = delete;

 private:
  struct State {
    bool stopped = false;
  };

  static void Repeat(const Executor& executor,
                     const std::shared_ptr<State>& state) {
    boost::asio::post(executor, [executor, state] {
      const auto end = std::chrono::steady_clock::now() + kPassTime / kHandlers;
      while (std::chrono::steady_clock::now() < end) {
      }
      if (!state->stopped) {
        Repeat(executor, state);
      }
    });
  }

  Executor m_executor;
  std::shared_ptr<State> m_state;
};

}  // namespace snipehall::test
