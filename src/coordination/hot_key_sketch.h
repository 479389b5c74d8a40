#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "state/result.h"

namespace snipehall {

// A key hash with its estimated number of requests.
struct KeyCount {
  std::uint64_t hash = 0;
  std::uint64_t count = 0;

  bool operator==(const KeyCount&) const = default;
};

// Finds the most requested keys of a stream in fixed memory by the Space-Saving
// algorithm (Metwally, Agrawal, El Abbadi, 2005): a key that takes over the
// smallest counter inherits its count. Each key with more than 1/capacity of
// the requests is found; a count is too high by at most total/capacity.
class HotKeySketch {
 public:
  static Result<HotKeySketch> Create(std::size_t capacity);

  void Add(std::uint64_t hash);

  // The `limit` largest counts, largest first.
  std::vector<KeyCount> Top(std::size_t limit) const;

  std::uint64_t total() const { return m_total; }
  void Clear();

 private:
  explicit HotKeySketch(std::size_t capacity);

  std::size_t m_capacity;
  std::uint64_t m_total = 0;
  // Counters as a min-heap by count, and the position of each hash in it.
  std::vector<KeyCount> m_heap;
  std::unordered_map<std::uint64_t, std::size_t> m_positions;

  void SiftUp(std::size_t position);
  void SiftDown(std::size_t position);
  void Swap(std::size_t a, std::size_t b);
};

}  // namespace snipehall
