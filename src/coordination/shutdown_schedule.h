#pragma once

#include "state/types.h"

namespace snipehall {

// When the steps of a planned stop are due. The platform kills the process at
// the shutdown limit, and excuses requests that are unfinished in the last
// sixth of it. The steps are at fractions of the limit, so that they keep this
// order for every limit:
//
//   accept_until <= refuses_long_requests_at < responses_due_at < ends_at
//
// Before the last step, every request in progress has got a response.
struct ShutdownSchedule {
  // The schedule of a stop that begins at `now` and has to end within `limit`.
  static ShutdownSchedule Create(MonotonicTime now, Milliseconds limit);

  // New connections are accepted until then.
  MonotonicTime accept_until = MonotonicTime::max();
  // From then on, requests whose deadline is later than `responses_due_at` are
  // not sent to a target any more. Earlier than half of the limit, because
  // those sent in the second half are not excused.
  MonotonicTime refuses_long_requests_at = MonotonicTime::max();
  // All requests in progress are ended, each with a response. Later than the
  // beginning of the last sixth of the limit.
  MonotonicTime responses_due_at = MonotonicTime::max();
  // The process ends, whether or not callers have taken their responses. It
  // leaves time to exit on a slow machine.
  MonotonicTime ends_at = MonotonicTime::max();
};

}  // namespace snipehall
