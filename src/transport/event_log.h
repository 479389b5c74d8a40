#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "state/types.h"

namespace snipehall {

// Structured event log with one JSON object per line, for routing decisions and
// state changes. Never blocks: a line that the output does not accept
// immediately is dropped and counted. Each event name is limited to
// kMaxLinesPerSecond; the next line of that event reports how many lines were
// suppressed.
class EventLog {
 public:
  using Fields =
      std::initializer_list<std::pair<std::string_view, std::string_view>>;

  static constexpr int kMaxLinesPerSecond = 20;

  // Writes to standard output if `file` is empty, otherwise appends to `file`.
  // Throws std::system_error if the file cannot be opened.
  EventLog(InstanceId instance, const std::string& file);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Writes one line with the time in milliseconds since the epoch, the
  // instance, the event name and `fields`.
  void Write(std::string_view event, Fields fields);

  // Number of lines that the output did not accept.
  std::uint64_t dropped() const { return m_dropped; }

 private:
  // Lines written and suppressed for one event name.
  struct RateLimit {
    // Second of the monotonic clock to which `lines` applies.
    std::int64_t second = 0;
    int lines = 0;
    std::uint64_t suppressed = 0;
  };

  InstanceId m_instance;
  int m_fd;
  std::map<std::string, RateLimit, std::less<>> m_rate_limits;
  std::uint64_t m_dropped = 0;
};

}  // namespace snipehall
