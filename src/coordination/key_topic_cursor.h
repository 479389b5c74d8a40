#pragma once

#include "state/record_page.h"

namespace snipehall {

// Follows the end of the key topic: tells which pages have key tables that are
// not known yet, where the next table is appended, and whether an append took
// effect there.
class KeyTopicCursor {
 public:
  struct PageResult {
    // The page is the first one, or the first one of its era.
    bool new_era = false;
    // The topic was read until shortly before the new era, and no other era
    // came in between.
    bool followed_previous_era = false;
    // The page may have tables that are not known yet.
    bool has_news = false;
    // The page shows the end of the topic as far as it is known.
    bool is_newest = false;
  };

  // Maximum time between the last read in an era and the first one in the next,
  // up to which the topic counts as followed. Within it, keys hardly move
  // without a release by their owner, which then rejects the older token.
  static constexpr Milliseconds kMaxFollowGap{7000};

  // Call for each page that was read. Pages must not be from an earlier era
  // than those before.
  PageResult OnPage(const RecordPage& page);

  // Call when a table was appended at `at` and the topic then ended at `end`.
  // Returns whether that table is the newest known one; otherwise the next page
  // tells.
  bool OnAppended(TopicPosition at, TopicPosition end);

  // Whether the topic has been read.
  bool known() const { return m_known; }
  // The end of the topic.
  TopicPosition position() const { return m_position; }
  // When the response to the last read arrived.
  MonotonicTime read_at() const { return m_read_at; }

 private:
  TopicPosition m_position;
  MonotonicTime m_read_at;
  bool m_known = false;
};

}  // namespace snipehall
