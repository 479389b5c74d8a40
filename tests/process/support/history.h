#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "process/support/traffic.h"
#include "state/types.h"

namespace snipehall::test {

// One execution of a request, from the history of a target stand-in. Times are
// in microseconds of the machine's monotonic clock.
struct ExecutedRequest {
  TargetId target;
  std::string incarnation;
  std::string id;
  bool keyed = false;
  std::uint64_t hash = 0;
  LogOffset token = 0;
  std::int64_t start_us = 0;
  // Equals the start when the target was killed during the request.
  std::int64_t end_us = 0;
  // "running", "finished", "cancelled" or "fenced"; see RunState.
  std::string state;

  bool HadEffect() const { return state != "fenced"; }
};

// Reads history files; missing files are empty. A last line that was cut off
// by SIGKILL is ignored.
std::vector<ExecutedRequest> ReadHistory(std::span<const std::string> files);

// Checks that each hash had at most one owner at any moment: executions under
// different owners do not overlap, tokens never go back, and one token belongs
// to one target. Returns a description of each violation.
std::vector<std::string> CheckOwners(std::vector<ExecutedRequest> history);

// Checks what callers were told against what ran: a request that is answered
// ran, a request refused as not run did not, and, when the requests are not
// idempotent, each ran at most once. Returns a description of each violation.
std::vector<std::string> CheckOutcomes(std::span<const ExecutedRequest> history,
                                       const TrafficReport& report,
                                       bool idempotent);

// Throws TestFailure with the first violations, unless there are none.
void RequireNone(std::span<const std::string> violations);

}  // namespace snipehall::test
