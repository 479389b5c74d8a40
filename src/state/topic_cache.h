#pragma once

#include <deque>
#include <optional>

#include "state/record_page.h"

namespace snipehall {

// The latest records of a topic, for instances that read them from this one.
class TopicCache {
 public:
  // Records that are kept.
  static constexpr std::size_t kRecords = 1000;

  // Adds a page that begins at offset `from`. A page that does not begin where
  // the last one ended replaces all before it.
  void Add(std::uint64_t from, const RecordPage& page);

  // When the topic was last read.
  MonotonicTime read_at() const { return m_read_at; }
  std::uint64_t end() const { return m_end; }

  // The records from offset `from` on, maybe with some before it; nothing when
  // some of them are not kept.
  std::optional<RecordPage> Read(std::uint64_t from) const;

 private:
  struct Part {
    std::uint64_t from = 0;
    std::uint64_t end = 0;
    std::vector<KeyedRecord> records;
  };

  std::deque<Part> m_parts;
  std::size_t m_records = 0;
  std::uint64_t m_first = 0;
  std::uint64_t m_end = 0;
  MonotonicTime m_read_at;
};

}  // namespace snipehall
