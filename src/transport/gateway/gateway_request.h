#pragma once

#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

#include "protocol/gateway_headers.h"
#include "state/route_policy.h"
#include "transport/async_event.h"
#include "transport/byte_stream.h"
#include "transport/deadline_timer.h"
#include "transport/view_body.h"

namespace snipehall {

// A caller's request while it is served. One coroutine uses it at a time;
// handlers of the same thread break off what it waits for.
class GatewayRequest {
 public:
  using Parser = boost::beast::http::request_parser<ViewBody>;

  GatewayRequest(const Executor& executor, ByteStream& caller);
  ~GatewayRequest();
  GatewayRequest(const GatewayRequest&) = delete;
  GatewayRequest& operator=(const GatewayRequest&) = delete;

  // Prepares for the next request on the connection.
  void Reset();

  // Breaks off the current wait once `limit` or the deadline has passed;
  // step_expired() tells which.
  void LimitStep(MonotonicTime limit);
  // From now on only the deadline counts.
  void EndStep();
  bool step_expired() const { return m_step_expired; }

  // The caller's connection has ended.
  void OnCallerGone();

  bool deadline_passed() const { return m_deadline_passed; }
  bool caller_gone() const { return m_caller_gone; }
  // Nothing more is to be done for the caller.
  bool interrupted() const { return m_deadline_passed || m_caller_gone; }
  // The current wait was broken off.
  bool broken_off() const { return interrupted() || m_step_expired; }

  std::optional<Parser> parser;
  GatewayRequestInfo info;
  std::string body;
  // Keeps `route` alive.
  std::shared_ptr<const RoutePolicy> policy;
  const Route* route = nullptr;
  MonotonicTime received;
  // The caller waits no longer than this, and neither does the route allow it.
  MonotonicTime deadline;
  bool keep_alive = true;

  AsyncEvent event;
  // The target's connection in use, or null.
  ByteStream* target = nullptr;

 private:
  void OnExpiry();
  void BreakOff();

  ByteStream& m_caller;
  std::shared_ptr<DeadlineTimer> m_timer;
  bool m_deadline_passed = false;
  bool m_caller_gone = false;
  bool m_step_expired = false;
};

}  // namespace snipehall
