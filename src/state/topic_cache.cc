#include "state/topic_cache.h"

namespace snipehall {

void TopicCache::Reset(const RecordPage& snapshot) {
  m_read_at = snapshot.received_at;
  m_cached_pages.clear();
  m_record_count = 0;
  m_first_offset = snapshot.end_offset;
  m_end = snapshot.end();
  m_newest_by_key.clear();
  UpdateNewest(snapshot);
  m_has_snapshot = true;
}

void TopicCache::Add(const RecordPage& page) {
  m_read_at = page.received_at;
  const std::uint64_t from = m_end.offset;
  m_end = page.end();
  if (page.end_offset == from) {
    return;
  }
  UpdateNewest(page);
  m_cached_pages.push_back({from, page.end_offset, page.records});
  m_record_count += page.records.size();
  while (m_record_count > kMaxRecords && m_cached_pages.size() > 1) {
    m_record_count -= m_cached_pages.front().records.size();
    m_cached_pages.pop_front();
    m_first_offset = m_cached_pages.front().from;
  }
}

void TopicCache::UpdateNewest(const RecordPage& page) {
  for (const KeyedRecord& record : page.records) {
    if (record.value.empty()) {
      m_newest_by_key.erase(record.key);
    } else {
      m_newest_by_key.insert_or_assign(record.key, record.value);
    }
  }
}

RecordPage TopicCache::EmptyPage() const {
  RecordPage page;
  page.sent_at = m_read_at;
  page.received_at = m_read_at;
  page.era = m_end.era;
  page.end_offset = m_end.offset;
  return page;
}

std::optional<RecordPage> TopicCache::Read(TopicPosition from) const {
  if (from.era < m_end.era) {
    return EmptyPage();
  }
  if (from.era > m_end.era || from.offset < m_first_offset ||
      from.offset > m_end.offset) {
    return std::nullopt;
  }
  RecordPage page = EmptyPage();
  for (const CachedPage& cached : m_cached_pages) {
    if (cached.end > from.offset) {
      page.records.insert(page.records.end(), cached.records.begin(),
                          cached.records.end());
    }
  }
  return page;
}

std::optional<RecordPage> TopicCache::ReadNewest() const {
  if (!m_has_snapshot) {
    return std::nullopt;
  }
  RecordPage page = EmptyPage();
  for (const auto& [key, value] : m_newest_by_key) {
    page.records.push_back({key, value});
  }
  return page;
}

}  // namespace snipehall
