#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace snipehall {

// Atomic pointer to the newest version of an immutable object. One thread
// stores new versions; other threads load them, and each keeps its version
// alive while it uses it.
template <typename T>
class AtomicSharedPtr {
 public:
  explicit AtomicSharedPtr(std::shared_ptr<const T> value)
      : m_value(std::move(value)) {}

  std::shared_ptr<const T> Load() const {
    return m_value.load(std::memory_order_acquire);
  }
  void Store(std::shared_ptr<const T> value) {
    m_value.store(std::move(value), std::memory_order_release);
  }

 private:
  std::atomic<std::shared_ptr<const T>> m_value;
};

}  // namespace snipehall
