#pragma once

#include "state/types.h"

namespace snipehall {

// Schedules long polls of the log: chooses how long a read may wait for
// records, when it times out and when the next read may be sent.
class LogReadScheduler {
 public:
  struct Limits {
    // Intended time from sending a read to its response. A response confirms
    // the state as of the time at which the read was sent, so this time must
    // stay well below the validity of a confirmation.
    Milliseconds confirmation_interval{166};
    // Time beyond its wait after which a read times out. Doubled after each
    // timeout, up to the maximum, so that a slow log can still be read.
    Milliseconds timeout_margin{500};
    Milliseconds max_timeout_margin{4000};
    // Delay after a failure other than a timeout. Doubled after each further
    // one, up to the maximum.
    Milliseconds min_retry_delay{20};
    Milliseconds max_retry_delay{250};
    // Minimum time between sending two reads, for a log that always has new
    // records.
    Milliseconds min_read_interval{10};
  };

  explicit LogReadScheduler(Limits limits);

  // How long a read that is sent now asks the log to wait for new records.
  Milliseconds poll_wait() const;

  // Time at which a read that is sent at `sent_at` times out.
  MonotonicTime Deadline(MonotonicTime sent_at) const;

  // To be called when the read sent at `sent_at` succeeded at `now`;
  // `has_records` states whether it returned records. Returns the time at which
  // the next read may be sent.
  MonotonicTime OnAnswer(MonotonicTime sent_at,
                         MonotonicTime now,
                         bool has_records);

  // To be called when a read failed at `now`, with `timed_out` for a timeout.
  // Returns the time at which the next read may be sent.
  MonotonicTime OnFailure(MonotonicTime now, bool timed_out);

 private:
  Limits m_limits;
  // Estimate of the time that a read takes beyond its wait.
  Milliseconds m_latency{0};
  Milliseconds m_timeout_margin;
  Milliseconds m_retry_delay;
};

}  // namespace snipehall
