#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <optional>
#include <utility>

namespace snipehall {

// A bounded ring between two threads, one that pushes and one that pops.
// The caller of Push() decides what happens when the ring is full.
template <typename T>
class Ring {
 public:
  explicit Ring(std::size_t capacity) : m_queue(capacity) {}

  // Returns false, and leaves `value` as it was, when the ring is full.
  bool Push(T& value) {
    if (m_queue.write_available() == 0) {
      return false;
    }
    return m_queue.push(std::move(value));
  }

  std::optional<T> Pop() {
    std::optional<T> value;
    m_queue.consume_one([&value](T& front) { value = std::move(front); });
    return value;
  }

 private:
  boost::lockfree::spsc_queue<T> m_queue;
};

}  // namespace snipehall
