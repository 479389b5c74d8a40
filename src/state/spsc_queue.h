#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <optional>
#include <utility>

namespace snipehall {

// Bounded lock-free queue with a single producer thread and a single consumer
// thread. Neither blocks; the caller of TryPush() decides what happens when the
// queue is full.
template <typename T>
class SpscQueue {
 public:
  explicit SpscQueue(std::size_t capacity) : m_queue(capacity) {}

  // Moves `value` into the queue. Returns false, and leaves `value` unchanged,
  // when the queue is full. Producer thread only.
  bool TryPush(T& value) {
    if (m_queue.write_available() == 0) {
      return false;
    }
    return m_queue.push(std::move(value));
  }

  // Returns the oldest value, or nothing when the queue is empty. Consumer
  // thread only.
  std::optional<T> TryPop() {
    std::optional<T> value;
    m_queue.consume_one([&value](T& front) { value = std::move(front); });
    return value;
  }

 private:
  boost::lockfree::spsc_queue<T> m_queue;
};

}  // namespace snipehall
