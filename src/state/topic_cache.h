#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "state/record_page.h"

namespace snipehall {

// Caches a topic for instances that read it from this one instead of the log:
// the newest record of each key, and the latest records as whole pages.
class TopicCache {
 public:
  // Maximum number of cached records. The oldest pages are dropped above it,
  // but never the newest page, which may exceed it alone. The newest records by
  // key do not count.
  static constexpr std::size_t kMaxRecords = 1000;

  // Replaces the whole cache by a snapshot of the topic.
  void Reset(const RecordPage& snapshot);
  // Adds a page that was read from the end of the previous one.
  void Add(const RecordPage& page);

  // When the response to the last read of the topic arrived, also one without
  // records.
  MonotonicTime read_at() const { return m_read_at; }
  // Position after the last cached record.
  TopicPosition end() const { return m_end; }

  // Returns the cached pages with the records from `from` on, so the first
  // records may be before `from`. The result has no records when `from` is
  // end() or of an earlier era, and there is no result when some of the records
  // are not cached or `from` is of a later era.
  std::optional<RecordPage> Read(TopicPosition from) const;
  // Returns the newest record of each key; nothing before the first Reset().
  std::optional<RecordPage> ReadNewest() const;

 private:
  // The records of one read, from offset `from` up to `end`.
  struct CachedPage {
    std::uint64_t from = 0;
    std::uint64_t end = 0;
    std::vector<KeyedRecord> records;
  };

  // A page without records that shows the end of the topic.
  RecordPage EmptyPage() const;
  void UpdateNewest(const RecordPage& page);

  std::deque<CachedPage> m_cached_pages;
  std::map<std::string, std::string> m_newest_by_key;
  std::size_t m_record_count = 0;
  std::uint64_t m_first_offset = 0;
  TopicPosition m_end;
  MonotonicTime m_read_at;
  bool m_has_snapshot = false;
};

}  // namespace snipehall
