#include "coordination/hot_key_sketch.h"

#include <algorithm>
#include <utility>

namespace snipehall {

Result<HotKeySketch> HotKeySketch::Create(std::size_t capacity) {
  if (capacity == 0) {
    return Fail(ErrorCode::kInvalidArgument, "capacity must be at least 1");
  }
  return HotKeySketch(capacity);
}

HotKeySketch::HotKeySketch(std::size_t capacity) : m_capacity(capacity) {
  m_heap.reserve(capacity);
  m_positions.reserve(capacity);
}

void HotKeySketch::Add(std::uint64_t hash) {
  ++m_total;
  if (const auto found = m_positions.find(hash); found != m_positions.end()) {
    ++m_heap[found->second].count;
    SiftDown(found->second);
    return;
  }
  if (m_heap.size() < m_capacity) {
    m_positions[hash] = m_heap.size();
    m_heap.push_back({hash, 1});
    SiftUp(m_heap.size() - 1);
    return;
  }
  m_positions.erase(m_heap.front().hash);
  m_heap.front().hash = hash;
  ++m_heap.front().count;
  m_positions[hash] = 0;
  SiftDown(0);
}

std::vector<KeyCount> HotKeySketch::Top(std::size_t limit) const {
  std::vector<KeyCount> counts(m_heap);
  const std::size_t size = std::min(limit, counts.size());
  std::partial_sort(
      counts.begin(), counts.begin() + static_cast<std::ptrdiff_t>(size),
      counts.end(), [](const KeyCount& a, const KeyCount& b) {
        return std::pair(b.count, a.hash) < std::pair(a.count, b.hash);
      });
  counts.resize(size);
  return counts;
}

void HotKeySketch::Clear() {
  m_total = 0;
  m_heap.clear();
  m_positions.clear();
}

void HotKeySketch::SiftUp(std::size_t position) {
  while (position > 0) {
    const std::size_t parent = (position - 1) / 2;
    if (m_heap[parent].count <= m_heap[position].count) {
      return;
    }
    Swap(position, parent);
    position = parent;
  }
}

void HotKeySketch::SiftDown(std::size_t position) {
  while (true) {
    std::size_t least = position;
    for (std::size_t child = 2 * position + 1;
         child <= 2 * position + 2 && child < m_heap.size(); ++child) {
      if (m_heap[child].count < m_heap[least].count) {
        least = child;
      }
    }
    if (least == position) {
      return;
    }
    Swap(position, least);
    position = least;
  }
}

void HotKeySketch::Swap(std::size_t a, std::size_t b) {
  std::swap(m_heap[a], m_heap[b]);
  m_positions[m_heap[a].hash] = a;
  m_positions[m_heap[b].hash] = b;
}

}  // namespace snipehall
