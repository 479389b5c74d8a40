#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "coordination/leader_message.h"
#include "state/types.h"

namespace snipehall {

// The requests for permits that the leader has not answered yet.
class PermitRequests {
 public:
  using OnResponse = std::function<void(const LeaderPermitResponse&)>;

  // A response that has not arrived after this time counts as lost.
  static constexpr Milliseconds kResponseTimeout{50};

  // Numbers the requests from one that only this process uses, so that a late
  // response to a former process of the instance matches none of them. Half of
  // the incarnation leaves room for numbers that only grow.
  explicit PermitRequests(Incarnation incarnation)
      : m_last_number(incarnation / 2) {}

  // Returns the number of a new request; `on_response` is called with the
  // response to it, or never.
  std::uint64_t Add(MonotonicTime now, OnResponse on_response);

  // Call for each response. One without a request is ignored.
  void Complete(const LeaderPermitResponse& response);

 private:
  struct Request {
    OnResponse on_response;
    MonotonicTime expires_at;
  };

  std::uint64_t m_last_number;
  std::map<std::uint64_t, Request> m_requests;
};

}  // namespace snipehall
