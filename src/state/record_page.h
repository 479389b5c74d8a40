#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/types.h"

namespace snipehall {

// A record of a topic in which the newest record of each key is kept.
struct KeyedRecord {
  std::string key;
  // Empty when the key was dropped.
  std::string value;

  bool operator==(const KeyedRecord&) const = default;
};

struct RecordPage {
  // Just before the read was sent; the topic was as the page says at some time
  // after that.
  MonotonicTime began;
  // When the log's answer arrived, here or at the instance that passes it on.
  MonotonicTime answered;
  // Offset of the next record of the topic.
  std::uint64_t end = 0;
  std::vector<KeyedRecord> records;
};

}  // namespace snipehall
