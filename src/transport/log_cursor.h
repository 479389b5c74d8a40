#pragma once

#include "coordination/messages.h"
#include "state/types.h"

namespace snipehall {

// The offset at which the next read of the log begins. Follows the folded
// state. While the state does not change, because its reader looks for a
// snapshot, the cursor goes on through what was read.
class LogCursor {
 public:
  LogOffset next() const { return m_next; }

  // The folded state ends at `state_offset`, for example after records from a
  // peer. A snapshot may take it below what was read; the records that follow
  // it are then read again.
  void OnState(LogOffset state_offset);

  // `read` was folded, and the state ends at `state_offset`.
  void OnRead(const LogRead& read, LogOffset state_offset);

 private:
  LogOffset m_next = 1;
  LogOffset m_state = 0;
};

}  // namespace snipehall
