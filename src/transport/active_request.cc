#include "transport/active_request.h"

namespace snipehall {

void ActiveRequest::Reset() {
  context = {};
  framing = BodyFraming::kNone;
  body_length = 0;
  body_streamed = false;
  body_consumed = false;
  expects_continue = false;
  keep_alive = true;
  response_started = false;
  may_have_run = false;
  response_status = 0;
  watches_caller = false;
  cancel_reason = CancelReason::kNone;
  queue_state = QueueState::kNone;
}

void ActiveRequest::WatchCaller() {
  watches_caller = true;
  caller.StartRead();
  if (caller.input_error()) {
    Cancel(CancelReason::kCallerDisconnected);
  }
}

void ActiveRequest::Cancel(CancelReason reason) {
  // The first reason is kept, but a shutdown overrides any other reason.
  if (cancel_reason == CancelReason::kNone ||
      reason == CancelReason::kShutdown) {
    cancel_reason = reason;
  }
  caller.Cancel();
  if (target != nullptr) {
    target->Cancel();
  }
  event.Notify();
}

}  // namespace snipehall
