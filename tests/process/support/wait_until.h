#pragma once

#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

namespace snipehall::test {

using Clock = std::chrono::steady_clock;

// Ends a test. Thrown rather than asserted, so that destructors run and end
// the processes that the test started.
class TestFailure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws TestFailure when the condition is false.
inline void Require(bool condition, const std::string& message) {
  if (!condition) {
    throw TestFailure(message);
  }
}

// Polls `predicate` until it returns true; false when `deadline` passes first.
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
