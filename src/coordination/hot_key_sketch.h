#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "state/result.h"

namespace snipehall {

// A key hash and its estimated number of requests.
struct KeyCount {
  std::uint64_t hash = 0;
  std::uint64_t count = 0;

  bool operator==(const KeyCount&) const = default;
};

// Finds the most requested keys of a stream in fixed memory with the
// Space-Saving algorithm (Metwally, Agrawal, El Abbadi, 2005): a new key
// replaces the key with the smallest counter and inherits its count. Every key
// with more than 1/capacity of the requests is found. Counts are overestimated
// by at most total/capacity.
class HotKeySketch {
 public:
  // Returns a sketch with `capacity` counters; fails with kInvalidArgument if
  // it is zero.
  static Result<HotKeySketch> Create(std::size_t capacity);

  // Counts one request for the key.
  void Add(std::uint64_t hash);

  // Returns the `limit` largest counts in descending order.
  std::vector<KeyCount> Top(std::size_t limit) const;

  // Returns the number of requests counted since the last Clear().
  std::uint64_t total() const { return m_total; }
  void Clear();

 private:
  explicit HotKeySketch(std::size_t capacity);

  std::size_t m_capacity;
  std::uint64_t m_total = 0;
  // Min-heap of counters by count, and the position of each hash in it.
  std::vector<KeyCount> m_heap;
  std::unordered_map<std::uint64_t, std::size_t> m_positions;

  void SiftUp(std::size_t position);
  void SiftDown(std::size_t position);
  void Swap(std::size_t a, std::size_t b);
};

}  // namespace snipehall
