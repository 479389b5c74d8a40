#include "state/topic_cache.h"

namespace snipehall {

void TopicCache::Add(std::uint64_t from, const RecordPage& page) {
  m_read_at = page.answered;
  if (from != m_end) {
    m_parts.clear();
    m_records = 0;
    m_first = from;
  }
  m_end = page.end;
  if (page.end == from) {
    return;
  }
  m_parts.push_back({from, page.end, page.records});
  m_records += page.records.size();
  while (m_records > kRecords && m_parts.size() > 1) {
    m_records -= m_parts.front().records.size();
    m_parts.pop_front();
    m_first = m_parts.front().from;
  }
}

std::optional<RecordPage> TopicCache::Read(std::uint64_t from) const {
  if (from < m_first || from > m_end) {
    return std::nullopt;
  }
  RecordPage page;
  page.answered = m_read_at;
  page.end = m_end;
  for (const Part& part : m_parts) {
    if (part.end > from) {
      page.records.insert(page.records.end(), part.records.begin(),
                          part.records.end());
    }
  }
  return page;
}

}  // namespace snipehall
