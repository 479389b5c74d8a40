#pragma once

#include <array>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/request_headers.h"
#include "state/routing_table.h"
#include "state/types.h"
#include "transport/async_event.h"
#include "transport/byte_stream.h"
#include "transport/deadline_timer.h"
#include "transport/view_body.h"

namespace snipehall {

using RequestParser = boost::beast::http::request_parser<ViewBody>;

// Why the processing of a request was cancelled.
enum class CancelReason {
  kNone,
  kDeadline,            // ActiveRequest::timer expired.
  kCallerDisconnected,  // The caller closed its connection.
  kShutdown,            // The service is shutting down.
};

// State of a request in an admission queue.
enum class QueueState { kNone, kWaiting, kStarted, kExpired };

// State of the request in progress on a caller's connection. Used by one
// coroutine at a time; handlers on the same thread cancel it or notify `event`.
struct ActiveRequest {
  ActiveRequest(const Executor& executor,
                ByteStream& caller_stream,
                DeadlineTimer& deadline_timer)
      : caller(caller_stream), timer(deadline_timer), event(executor) {}

  // Resets the state for the next request on the connection.
  void Reset();

  // Starts to watch for the caller closing its connection, which cancels the
  // request. Call it once the request has been read completely.
  void WatchCaller();

  // Cancels pending I/O on both connections and wakes the waiting coroutine.
  // The first reason is kept, except that kShutdown overrides it.
  void Cancel(CancelReason reason);
  bool is_cancelled() const { return cancel_reason != CancelReason::kNone; }

  // Returns whether the whole request is still in the caller's buffer, so that
  // it can be sent again.
  bool IsReplayable() const { return !body_streamed || !body_consumed; }

  std::optional<RequestParser> parser;
  RequestContext context;
  // Storage of a generated request ID.
  std::array<char, 32> request_id_storage = {};

  // Maximum time without input while a streamed body is read.
  Milliseconds body_idle_timeout{0};
  // When the first byte of the request arrived.
  MonotonicTime received;
  // When the caller stops waiting for the response.
  MonotonicTime deadline;

  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t body_length = 0;
  // The body is read while it is being forwarded. Otherwise it is read
  // completely into the caller's buffer first.
  bool body_streamed = false;
  // Part of a streamed body has left the caller's buffer.
  bool body_consumed = false;
  // The caller sent "Expect: 100-continue" and waits for the interim response
  // before it sends the body.
  bool expects_continue = false;
  // The caller's connection stays open for another request.
  bool keep_alive = true;

  // Sending the target's response to the caller has begun.
  bool response_started = false;
  // A target may have executed an earlier attempt.
  bool may_have_run = false;
  int response_status = 0;

  // A close of the caller's connection cancels the request.
  bool watches_caller = false;
  CancelReason cancel_reason = CancelReason::kNone;
  QueueState queue_state = QueueState::kNone;

  ByteStream& caller;
  // Cancels the request with kDeadline when it expires.
  DeadlineTimer& timer;
  // The target connection in use, or null.
  ByteStream* target = nullptr;
  // Wakes the coroutine that processes the request.
  AsyncEvent event;
  // Buffer for message heads (start line and header fields), reused to avoid
  // allocations.
  std::string head_buffer;
};

}  // namespace snipehall
