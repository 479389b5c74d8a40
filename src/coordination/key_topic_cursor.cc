#include "coordination/key_topic_cursor.h"

namespace snipehall {

KeyTopicCursor::PageResult KeyTopicCursor::OnPage(const RecordPage& page) {
  PageResult result;
  result.new_era = !m_known || page.era != m_position.era;
  result.followed_previous_era = m_known && page.era == m_position.era + 1 &&
                                 page.received_at - m_read_at <= kMaxFollowGap;
  result.has_news = result.new_era || page.end_offset > m_position.offset;
  if (result.has_news) {
    m_position = page.end();
  }
  result.is_newest = page.end_offset == m_position.offset;
  m_read_at = page.received_at;
  m_known = true;
  return result;
}

bool KeyTopicCursor::OnAppended(TopicPosition at, TopicPosition end) {
  if (m_position != at || end.era != at.era) {
    return false;
  }
  m_position = end;
  return true;
}

}  // namespace snipehall
