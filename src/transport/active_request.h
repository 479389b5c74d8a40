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

// Why the waits of a request were broken off.
enum class Interrupt {
  kNone,
  kDeadline,    // A deadline has passed; see ActiveRequest::deadline.
  kCallerGone,  // The caller closed its connection.
  kStopped,     // The service ends.
};

// Outcome of waiting in an admission queue.
enum class QueueState { kNone, kWaiting, kStarted, kExpired };

// A request in progress on a caller's connection. Used by one coroutine at a
// time; handlers of the same thread set `interrupt` and notify `event`.
struct ActiveRequest {
  ActiveRequest(const Executor& executor,
                ByteStream& caller_stream,
                DeadlineTimer& deadline_timer)
      : caller(caller_stream), timer(deadline_timer), event(executor) {}

  // Prepares for the next request on the connection.
  void Reset();

  // Starts to watch the caller's connection for its close; the request must
  // have been read whole.
  void WatchCaller();

  // Breaks off whatever the request is waiting for.
  void Break(Interrupt reason);
  bool interrupted() const { return interrupt != Interrupt::kNone; }

  // The whole request stays in the caller's buffer, so it can be sent again.
  bool IsReplayable() const { return !body_streamed || !body_consumed; }

  std::optional<RequestParser> parser;
  RequestContext context;
  // Holds a generated request id.
  std::array<char, 32> id_storage = {};

  // Time allowed between two pieces of a streamed body.
  Milliseconds body_idle{0};
  MonotonicTime received;
  MonotonicTime deadline;

  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t body_length = 0;
  // The body is read while it is forwarded; otherwise all of it is in the
  // caller's buffer.
  bool body_streamed = false;
  bool body_consumed = false;
  // The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
  // The caller's connection may serve another request after this one.
  bool keep_alive = true;

  bool answer_started = false;
  // An earlier attempt may have run.
  bool may_have_run = false;
  int answer_status = 0;

  // The close of the caller's connection breaks the request off.
  bool watches_caller = false;
  Interrupt interrupt = Interrupt::kNone;
  QueueState queue_state = QueueState::kNone;

  ByteStream& caller;
  // Breaks the request off with kDeadline.
  DeadlineTimer& timer;
  // The target's connection in use, or null.
  ByteStream* target = nullptr;
  AsyncEvent event;
  // Reused for the heads of messages.
  std::string head;
};

}  // namespace snipehall
