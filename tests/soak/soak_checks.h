#pragma once

#include <map>
#include <string>
#include <vector>

namespace snipehall::test {

// What a client saw of one request.
struct SoakRequest {
  std::string id;
  // It may run more than once.
  bool idempotent = false;
  // Zero without a whole answer.
  int status = 0;
  // The answer was the target's to this request, and whole.
  bool matches = false;
  bool signed_by_target = false;
};

// Checks the promises of the gateway against what clients and targets saw.
// `events` are the targets' lines of JSON, in the order of their writing.
// Returns a line for each broken promise.
std::vector<std::string> CheckSoak(const std::vector<SoakRequest>& requests,
                                   const std::vector<std::string>& events);

}  // namespace snipehall::test
