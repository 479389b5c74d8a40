#pragma once

#include "state/types.h"

namespace snipehall {

// Chooses how long a read of the log may wait for news and when it is given
// up, and how long to pause after a failure.
class ReadPace {
 public:
  struct Limits {
    // An answer confirms the state as of the time at which the read was sent,
    // so that wait and latency together must stay well below the validity of a
    // confirmation.
    Milliseconds confirmation_interval{166};
    // Time beyond its wait after which a first read is given up. Doubled after
    // each time-out, so that a slow log is still read.
    Milliseconds allowance{500};
    Milliseconds longest_allowance{4000};
    Milliseconds shortest_pause{20};
    Milliseconds longest_pause{250};
    // Least time between the starts of two reads, for a log with steady news.
    Milliseconds spacing{10};
  };

  explicit ReadPace(Limits limits);

  // How long a read that is sent now asks the log to wait for news.
  Milliseconds wait() const;

  // Time by which a read that is sent at `began` must be answered.
  MonotonicTime Deadline(MonotonicTime began) const;

  // A read was answered. Returns the time at which the next may be sent.
  MonotonicTime OnAnswer(MonotonicTime began, MonotonicTime now, bool news);

  // A read failed. Returns the time at which the next may be sent.
  MonotonicTime OnFailure(MonotonicTime now, bool timed_out);

 private:
  Limits m_limits;
  Milliseconds m_latency{0};
  Milliseconds m_allowance;
  Milliseconds m_pause;
};

}  // namespace snipehall
