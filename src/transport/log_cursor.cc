#include "transport/log_cursor.h"

#include <algorithm>

namespace snipehall {

void LogCursor::OnState(LogOffset state_offset) {
  if (state_offset != m_state) {
    m_state = state_offset;
    m_next = state_offset + 1;
  }
}

void LogCursor::OnRead(const LogRead& read, LogOffset state_offset) {
  if (!read.entries.empty()) {
    m_next = read.entries.back().offset + 1;
  }
  OnState(state_offset);
  m_next = std::max(m_next, read.first);
}

}  // namespace snipehall
