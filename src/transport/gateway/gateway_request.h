#pragma once

#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

#include "coordination/buffer_budget.h"
#include "protocol/gateway_headers.h"
#include "state/route_policy.h"
#include "transport/async_event.h"
#include "transport/byte_stream.h"
#include "transport/deadline_timer.h"
#include "transport/view_body.h"

namespace snipehall {

// A caller's request in progress, with its deadline. One coroutine uses it at a
// time; timer and disconnect handlers on the same thread cancel the operation
// that the coroutine waits for.
class GatewayRequest {
 public:
  using Parser = boost::beast::http::request_parser<ViewBody>;

  GatewayRequest(const Executor& executor, std::shared_ptr<ByteStream> caller);
  ~GatewayRequest();
  GatewayRequest(const GatewayRequest&) = delete;
  GatewayRequest& operator=(const GatewayRequest&) = delete;

  // Cancels the current wait at `limit` or at the request's deadline, whichever
  // is earlier; step_expired() and deadline_passed() tell which. A step is one
  // phase of a request, such as connecting to a target.
  void SetStepDeadline(MonotonicTime limit);
  // Ends the step: only the request's deadline remains in force.
  void ClearStepDeadline();
  bool step_expired() const { return m_step_expired; }

  // Ends the request as if its deadline had passed: the process ends.
  void Expire();

  // Called when the caller has closed its connection; cancels the current wait.
  void OnCallerDisconnected();

  bool deadline_passed() const { return m_deadline_passed; }
  bool caller_disconnected() const { return m_caller_disconnected; }
  // The request needs no more work: its deadline passed or the caller left.
  bool interrupted() const {
    return m_deadline_passed || m_caller_disconnected;
  }
  // The same, also when the event loop has not handled the timer or the close
  // yet. Call it before each attempt; it makes a system call.
  bool CheckInterrupted();
  // The current wait was cancelled, for any of these reasons.
  bool wait_cancelled() const { return interrupted() || m_step_expired; }

  std::optional<Parser> parser;
  GatewayRequestInfo info;
  std::string body;
  // Memory of the head and `body`.
  BufferBudget::Reservation memory;
  // Owns the object that `route` points into.
  std::shared_ptr<const RoutePolicy> policy;
  const Route* route = nullptr;
  // Arrival of the first byte.
  MonotonicTime received_at;
  // Earlier of the caller's own deadline and the route's timeout.
  MonotonicTime deadline = MonotonicTime::max();
  bool keep_alive = true;

  // Notified when the wait is cancelled.
  AsyncEvent event;
  // Connection to the caller.
  std::shared_ptr<ByteStream> caller_stream;
  // Connection to the target in use, or null. Cancelled with the wait.
  ByteStream* target_stream = nullptr;

 private:
  void OnExpiry();
  void CancelWait();

  std::shared_ptr<DeadlineTimer> m_timer;
  bool m_deadline_passed = false;
  bool m_caller_disconnected = false;
  bool m_step_expired = false;
};

}  // namespace snipehall
