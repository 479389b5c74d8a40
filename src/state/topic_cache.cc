#include "state/topic_cache.h"

namespace snipehall {

void TopicCache::Add(std::uint64_t from, const RecordPage& page) {
  m_read_at = page.received_at;
  if (from != m_end_offset) {
    m_cached_pages.clear();
    m_record_count = 0;
    m_first_offset = from;
  }
  m_end_offset = page.end_offset;
  if (page.end_offset == from) {
    return;
  }
  m_cached_pages.push_back({from, page.end_offset, page.records});
  m_record_count += page.records.size();
  while (m_record_count > kMaxRecords && m_cached_pages.size() > 1) {
    m_record_count -= m_cached_pages.front().records.size();
    m_cached_pages.pop_front();
    m_first_offset = m_cached_pages.front().from;
  }
}

std::optional<RecordPage> TopicCache::Read(std::uint64_t from) const {
  if (from < m_first_offset || from > m_end_offset) {
    return std::nullopt;
  }
  RecordPage page;
  page.received_at = m_read_at;
  page.end_offset = m_end_offset;
  for (const CachedPage& cached : m_cached_pages) {
    if (cached.end > from) {
      page.records.insert(page.records.end(), cached.records.begin(),
                          cached.records.end());
    }
  }
  return page;
}

}  // namespace snipehall
