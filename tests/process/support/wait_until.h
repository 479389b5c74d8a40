#pragma once

#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

namespace snipehall::test {

using Clock = std::chrono::steady_clock;

// Reports the failure of a test. Tests throw it instead of using assertions, so
// that destructors run and kill the processes that the test started.
class TestFailure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws TestFailure if the condition is false.
inline void Require(bool condition, const std::string& message) {
  if (!condition) {
    throw TestFailure(message);
  }
}

// Polls `predicate` every 5 ms until it returns true. Returns false if
// `deadline` passes first.
template <typename Predicate>
bool WaitUntil(Clock::time_point deadline, Predicate predicate) {
  constexpr std::chrono::milliseconds kInterval{5};
  while (!predicate()) {
    if (Clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return true;
}

}  // namespace snipehall::test
