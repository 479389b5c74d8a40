#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "state/types.h"

namespace snipehall {

// A record of a compacted topic, which keeps the newest record of each key.
struct KeyedRecord {
  std::string key;
  // Empty when the key was deleted.
  std::string value;

  bool operator==(const KeyedRecord&) const = default;
};

// A position in a topic. The offsets of a restored log are assigned again, so
// those of different eras are not comparable.
struct TopicPosition {
  LogEra era = 0;
  std::uint64_t offset = 0;

  bool operator==(const TopicPosition&) const = default;
};

// The result of a read of a topic.
struct RecordPage {
  // When the read was sent. The page shows the topic as it was at some time
  // after that.
  MonotonicTime sent_at;
  // When the log's response began to arrive, at this instance or at the one
  // that relays it.
  MonotonicTime received_at;
  // Era of the log in which the topic was read.
  LogEra era = 0;
  // Offset of the next record of the topic, after those of this page.
  std::uint64_t end_offset = 0;
  std::vector<KeyedRecord> records;
  // The topic has more records than were read, from `end_offset` on.
  bool has_more = false;
  // Size of the response that the page was read from, bytes.
  std::size_t size_bytes = 0;

  TopicPosition end() const { return {era, end_offset}; }
};

}  // namespace snipehall
