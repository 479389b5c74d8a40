#pragma once

#include <deque>
#include <optional>

#include "state/record_page.h"

namespace snipehall {

// Caches the latest records of a topic for instances that read them from this
// one instead of the log.
class TopicCache {
 public:
  // Maximum number of cached records; the newest page is always kept whole.
  static constexpr std::size_t kMaxRecords = 1000;

  // Adds a page that was read from offset `from`. A page that does not begin
  // where the previous one ended replaces the whole cache.
  void Add(std::uint64_t from, const RecordPage& page);

  // When the answer to the last read of the topic arrived.
  MonotonicTime read_at() const { return m_read_at; }
  // Offset after the last cached record.
  std::uint64_t end() const { return m_end_offset; }

  // Returns the records from offset `from` on, possibly with some before it, or
  // nothing when some of them are not cached.
  std::optional<RecordPage> Read(std::uint64_t from) const;

 private:
  // The records of one read, from offset `from` up to `end`.
  struct CachedPage {
    std::uint64_t from = 0;
    std::uint64_t end = 0;
    std::vector<KeyedRecord> records;
  };

  std::deque<CachedPage> m_cached_pages;
  std::size_t m_record_count = 0;
  std::uint64_t m_first_offset = 0;
  std::uint64_t m_end_offset = 0;
  MonotonicTime m_read_at;
};

}  // namespace snipehall
