#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "state/types.h"

namespace snipehall {

// Writes one line of JSON for each decision or change of state, without ever
// blocking: a line that the pipe does not take at once is
// dropped and counted. Lines of one event are limited to kLinesPerSecond; the
// next line that is written says how many were left out.
class EventLog {
 public:
  using Fields =
      std::initializer_list<std::pair<std::string_view, std::string_view>>;

  static constexpr int kLinesPerSecond = 20;

  // Writes to standard output, or appends to `file` when it has a name. Throws
  // std::system_error when the file cannot be opened.
  EventLog(InstanceId instance, const std::string& file);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(std::string_view event, Fields fields);

  std::uint64_t dropped() const { return m_dropped; }

 private:
  struct Rate {
    std::int64_t second = 0;
    int lines = 0;
    std::uint64_t left_out = 0;
  };

  InstanceId m_instance;
  int m_output;
  std::map<std::string, Rate, std::less<>> m_rates;
  std::uint64_t m_dropped = 0;
};

}  // namespace snipehall
