#pragma once

#include <map>
#include <string>
#include <vector>

namespace snipehall::test {

// A request and the response that the client received.
struct SoakRequest {
  std::string id;
  // Whether it may run more than once.
  bool idempotent = false;
  // 0 if there was no complete response.
  int status = 0;
  // Whether the body is the target's complete response to this request.
  bool matches = false;
  // Whether the response carries a target's signature.
  bool signed_by_target = false;
};

// Checks the gateway's guarantees against the requests of the clients and the
// events of the targets: each key has one owner at a time, each owner gets a
// greater token than all targets that owned the key before, non-idempotent
// requests run at most once, requests refused as not run did not run, and each
// success comes from a target. `events` are JSON objects in the order in which
// the targets wrote them. Returns a description of each violation.
std::vector<std::string> CheckSoak(const std::vector<SoakRequest>& requests,
                                   const std::vector<std::string>& events);

}  // namespace snipehall::test
