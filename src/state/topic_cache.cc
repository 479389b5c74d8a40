#include "state/topic_cache.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <vector>

namespace snipehall {

void TopicCache::Reset(const RecordPage& snapshot) {
  m_read_at = snapshot.received_at;
  const bool continues = m_has_snapshot && snapshot.era == m_end.era &&
                         snapshot.end_offset >= m_end.offset;
  m_end = snapshot.end();
  m_has_snapshot = true;
  if (!continues) {
    m_records.clear();
    m_deleted_keys = 0;
    m_first_offset = snapshot.end_offset;
  }
  std::set<std::string_view> keys;
  for (const KeyedRecord& record : snapshot.records) {
    keys.insert(record.key);
    const auto known = m_records.find(record.key);
    if (known == m_records.end() || known->second.value != record.value) {
      Store(record, snapshot.end_offset);
    }
  }
  std::vector<std::string> deleted_keys;
  for (const auto& [key, record] : m_records) {
    if (!record.value.empty() && !keys.contains(key)) {
      deleted_keys.push_back(key);
    }
  }
  for (std::string& key : deleted_keys) {
    Store({std::move(key), std::string()}, snapshot.end_offset);
  }
  ForgetDeletedKeys();
}

void TopicCache::Add(const RecordPage& page) {
  m_read_at = page.received_at;
  if (page.end_offset == m_end.offset) {
    return;
  }
  m_end = page.end();
  for (const KeyedRecord& record : page.records) {
    Store(record, page.end_offset);
  }
  ForgetDeletedKeys();
}

void TopicCache::Store(const KeyedRecord& record, std::uint64_t page_end) {
  const auto [cached, added] = m_records.try_emplace(record.key);
  const bool was_deleted = !added && cached->second.value.empty();
  if (was_deleted) {
    --m_deleted_keys;
  }
  if (record.value.empty()) {
    ++m_deleted_keys;
  }
  cached->second = {record.value, page_end};
}

void TopicCache::ForgetDeletedKeys() {
  if (m_deleted_keys <= kMaxDeletedKeys) {
    return;
  }
  std::vector<std::uint64_t> offsets;
  for (const auto& [key, record] : m_records) {
    if (record.value.empty()) {
      offsets.push_back(record.page_end);
    }
  }
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  m_first_offset = std::max(m_first_offset, *middle);
  m_deleted_keys -= std::erase_if(m_records, [this](const auto& item) {
    return item.second.value.empty() && item.second.page_end <= m_first_offset;
  });
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
  for (const auto& [key, record] : m_records) {
    if (record.page_end > from.offset) {
      page.records.push_back({key, record.value});
    }
  }
  return page;
}

std::optional<RecordPage> TopicCache::ReadNewest() const {
  if (!m_has_snapshot) {
    return std::nullopt;
  }
  RecordPage page = EmptyPage();
  for (const auto& [key, record] : m_records) {
    if (!record.value.empty()) {
      page.records.push_back({key, record.value});
    }
  }
  return page;
}

}  // namespace snipehall
