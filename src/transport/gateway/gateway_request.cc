#include "transport/gateway/gateway_request.h"

#include <algorithm>
#include <utility>

namespace snipehall {

GatewayRequest::GatewayRequest(const Executor& executor,
                               std::shared_ptr<ByteStream> caller)
    : event(executor),
      caller_stream(std::move(caller)),
      m_timer(
          std::make_shared<DeadlineTimer>(executor, [this] { OnExpiry(); })) {}

GatewayRequest::~GatewayRequest() {
  m_timer->Close();
}

void GatewayRequest::SetStepDeadline(MonotonicTime limit) {
  m_step_expired = false;
  m_timer->Arm(std::min(limit, deadline));
}

void GatewayRequest::ClearStepDeadline() {
  m_step_expired = false;
  if (deadline == MonotonicTime::max()) {
    m_timer->Disarm();
  } else {
    m_timer->Arm(deadline);
  }
}

void GatewayRequest::OnExpiry() {
  if (std::chrono::steady_clock::now() >= deadline) {
    m_deadline_passed = true;
  } else {
    m_step_expired = true;
  }
  CancelWait();
}

void GatewayRequest::Expire() {
  m_deadline_passed = true;
  CancelWait();
}

void GatewayRequest::OnCallerDisconnected() {
  m_caller_disconnected = true;
  CancelWait();
}

bool GatewayRequest::CheckInterrupted() {
  if (!interrupted()) {
    m_deadline_passed = std::chrono::steady_clock::now() >= deadline;
    m_caller_disconnected = caller_stream->IsClosedByPeer();
  }
  return interrupted();
}

void GatewayRequest::CancelWait() {
  if (target_stream != nullptr) {
    target_stream->Cancel();
  }
  event.Notify();
}

}  // namespace snipehall
