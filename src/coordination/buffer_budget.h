#pragma once

#include <cstddef>
#include <utility>

namespace snipehall {

// Memory shared by messages of unknown size that are buffered until they are
// complete. Each may take up to a share of what is free at the moment, so a few
// large ones cannot use up all of it: with n messages that grow without end,
// each gets capacity / (n + kShareDivisor - 1), and an equal part stays free
// for others. This is the dynamic queue threshold of shared-memory switches.
// Not thread-safe; must outlive its reservations.
class BufferBudget {
 public:
  // Every message may take this much, whatever others use.
  static constexpr std::size_t kGuaranteedBytes = std::size_t{16} * 1024;
  // A message may take the memory that is free, its own included, divided by
  // this.
  static constexpr std::size_t kShareDivisor = 2;

  // The memory of one message; the destructor returns it.
  class Reservation {
   public:
    Reservation() = default;
    explicit Reservation(BufferBudget& budget) : m_budget(&budget) {}
    ~Reservation() { Clear(); }
    Reservation(Reservation&& other) noexcept
        : m_budget(std::exchange(other.m_budget, nullptr)),
          m_size(std::exchange(other.m_size, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept {
      Clear();
      m_budget = std::exchange(other.m_budget, nullptr);
      m_size = std::exchange(other.m_size, 0);
      return *this;
    }

    // Adds `bytes`. Returns false, and adds nothing, when the message would
    // exceed its share. A default-constructed reservation cannot grow.
    bool TryGrow(std::size_t bytes);
    // Returns all memory; the reservation can grow again.
    void Clear();
    // Bytes reserved.
    std::size_t size() const { return m_size; }

   private:
    BufferBudget* m_budget = nullptr;
    std::size_t m_size = 0;
  };

  explicit BufferBudget(std::size_t capacity) : m_capacity(capacity) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  // Bytes reserved by all messages.
  std::size_t used() const { return m_used; }
  std::size_t capacity() const { return m_capacity; }

 private:
  std::size_t m_capacity;
  std::size_t m_used = 0;
};

}  // namespace snipehall
