#pragma once

#include <cstddef>
#include <utility>

namespace snipehall {

// Memory shared by messages of unknown size that are buffered until they are
// complete. Each may take up to a share of what is free at the moment, so a few
// large ones cannot use up all of it: with n messages that grow without end,
// each gets capacity / (n + kShareDivisor - 1), and an equal part stays free
// for others. This is the dynamic queue threshold of shared-memory switches.
// In calm, while the others use little, a message may take nearly all of it.
// Not thread-safe; must outlive its reservations.
class BufferBudget {
 public:
  // What a message may take in any case, unless its reservation says otherwise.
  static constexpr std::size_t kGuaranteedBytes = std::size_t{16} * 1024;
  // A message may take the memory that is free, its own included, divided by
  // this.
  static constexpr std::size_t kShareDivisor = 2;
  // While the others use at most the capacity divided by this, a message may
  // take all that is free but the same part of it.
  static constexpr std::size_t kCalmDivisor = 16;

  // The memory of one message; the destructor returns it.
  class Reservation {
   public:
    Reservation() = default;
    // The message may take `guaranteed_bytes`, whatever others use.
    explicit Reservation(BufferBudget& budget,
                         std::size_t guaranteed_bytes = kGuaranteedBytes)
        : m_budget(&budget), m_guaranteed_bytes(guaranteed_bytes) {}
    ~Reservation() { Clear(); }
    Reservation(Reservation&& other) noexcept
        : m_budget(std::exchange(other.m_budget, nullptr)),
          m_guaranteed_bytes(other.m_guaranteed_bytes),
          m_size(std::exchange(other.m_size, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept {
      Clear();
      m_budget = std::exchange(other.m_budget, nullptr);
      m_guaranteed_bytes = other.m_guaranteed_bytes;
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
    std::size_t m_guaranteed_bytes = 0;
    std::size_t m_size = 0;
  };

  explicit BufferBudget(std::size_t capacity) : m_capacity(capacity) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  // Bytes reserved by all messages.
  std::size_t used() const { return m_used; }
  std::size_t capacity() const { return m_capacity; }

 private:
  // The most that a message of `size` bytes may take.
  std::size_t Share(std::size_t size) const;

  std::size_t m_capacity;
  std::size_t m_used = 0;
};

}  // namespace snipehall
