#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "process/support/traffic.h"
#include "state/types.h"

namespace snipehall::test {

// One execution of a request, read from the history of a target stand-in. Times
// are microseconds of the machine's monotonic clock.
struct ExecutedRequest {
  TargetId target;
  std::string incarnation;
  std::string id;
  bool keyed = false;
  std::uint64_t hash = 0;
  // The fencing token under which the target ran the request.
  LogOffset token = 0;
  std::int64_t start_us = 0;
  // Equals `start_us` if the target was killed during the request.
  std::int64_t end_us = 0;
  // "running", "finished", "cancelled" or "fenced"; see RunState.
  std::string state;

  // Whether the execution may have had an effect. The effect of a fenced one
  // was discarded.
  bool HadEffect() const { return state != "fenced"; }
};

// Reads the executions from history files. A missing file counts as empty, and
// an incomplete last line, as left by SIGKILL, is ignored. Throws TestFailure
// on other malformed lines.
std::vector<ExecutedRequest> ReadHistory(std::span<const std::string> files);

// Checks that each hash had at most one owner at any time: executions by
// different owners do not overlap, fencing tokens never decrease, and no two
// targets use the same token. Returns a description of each violation.
std::vector<std::string> CheckOwners(std::vector<ExecutedRequest> history);

// Compares the responses that callers got with the executions: a request that a
// target answered ran, a request that was refused as not run did not run, and,
// unless the requests are idempotent, each ran at most once. Returns a
// description of each violation.
std::vector<std::string> CheckOutcomes(std::span<const ExecutedRequest> history,
                                       const TrafficReport& report,
                                       bool idempotent);

// Throws TestFailure with the first violations if there are any.
void RequireNoViolations(std::span<const std::string> violations);

}  // namespace snipehall::test
