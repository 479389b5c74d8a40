#pragma once

#include <deque>
#include <optional>

#include "state/record_page.h"

namespace snipehall {

// Caches the latest records of a topic, as whole pages, for instances that read
// them from this one instead of the log.
class TopicCache {
 public:
  // Maximum number of cached records. The oldest pages are dropped above it,
  // but never the newest page, which may exceed it alone.
  static constexpr std::size_t kMaxRecords = 1000;

  // Adds a page that was read from offset `from`. A page that does not begin
  // where the previous one ended replaces the whole cache.
  void Add(std::uint64_t from, const RecordPage& page);

  // When the response to the last read of the topic arrived, also one without
  // records.
  MonotonicTime read_at() const { return m_read_at; }
  // Offset after the last cached record.
  std::uint64_t end() const { return m_end_offset; }

  // Returns the cached pages with the records from offset `from` on, so the
  // first records may be before `from`. The result has no records when `from`
  // is end(), and there is no result when some of the records are not cached.
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
