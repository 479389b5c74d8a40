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
  answer_started = false;
  may_have_run = false;
  answer_status = 0;
  watches_caller = false;
  interrupt = Interrupt::kNone;
  queue_state = QueueState::kNone;
}

void ActiveRequest::WatchCaller() {
  watches_caller = true;
  caller.StartRead();
  if (caller.input_error()) {
    Break(Interrupt::kCallerGone);
  }
}

void ActiveRequest::Break(Interrupt reason) {
  // The first reason counts, but nothing hides that the service ends.
  if (interrupt == Interrupt::kNone || reason == Interrupt::kStopped) {
    interrupt = reason;
  }
  caller.Cancel();
  if (target != nullptr) {
    target->Cancel();
  }
  event.Notify();
}

}  // namespace snipehall
