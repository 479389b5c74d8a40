#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "state/record_page.h"

namespace snipehall {

// Caches a topic for instances that read it from this one instead of the log:
// the newest record of each key. A reader that is behind skips the records that
// were replaced since, so neither the cache nor a response grows with the
// number of records that it has missed.
class TopicCache {
 public:
  // Maximum number of deleted keys that are remembered. Above it, the oldest
  // half is forgotten, and reads from before these deletions have no result.
  static constexpr std::size_t kMaxDeletedKeys = 1000;

  // Replaces the cache by a snapshot of the topic. If the snapshot continues
  // the cached records, which are of the same era, readers can continue as
  // well.
  void Reset(const RecordPage& snapshot);
  // Adds a page that was read from the end of the previous one.
  void Add(const RecordPage& page);

  // When the response to the last read of the topic arrived, also one without
  // records.
  MonotonicTime read_at() const { return m_read_at; }
  // Position after the last cached record.
  TopicPosition end() const { return m_end; }

  // Returns the newest record of each key that has records from `from` on; a
  // deleted key has an empty value. Some of these records may be before `from`.
  // The result has no records when `from` is end() or of an earlier era, and
  // there is no result when some of the records are not cached or `from` is of
  // a later era.
  std::optional<RecordPage> Read(TopicPosition from) const;
  // Returns the newest record of each key; nothing before the first Reset().
  std::optional<RecordPage> ReadNewest() const;

 private:
  struct CachedRecord {
    // Empty when the key was deleted.
    std::string value;
    // End of the page that the record was read with.
    std::uint64_t page_end = 0;
  };

  // A page without records that shows the end of the topic.
  RecordPage EmptyPage() const;
  // Adds a record of a page that ends at `page_end`.
  void Store(const KeyedRecord& record, std::uint64_t page_end);
  // Forgets the oldest deleted keys if there are too many.
  void ForgetDeletedKeys();

  std::map<std::string, CachedRecord> m_records;
  std::size_t m_deleted_keys = 0;
  std::uint64_t m_first_offset = 0;
  TopicPosition m_end;
  MonotonicTime m_read_at;
  bool m_has_snapshot = false;
};

}  // namespace snipehall
