#pragma once

#include <optional>
#include <string>

#include "state/verdict.h"
#include "transport/gateway/gateway_context.h"
#include "transport/gateway/target_exchange.h"

namespace snipehall {

// How a request ended, for the caller and for logs.
struct GatewayOutcome {
  // The status of the answer, or zero when the caller is gone.
  int status = 0;
  Verdict verdict = Verdict::kNotRun;
  // What decided it.
  std::string_view cause;
  // When the caller may come back; zero for an answer that is final.
  Milliseconds retry_after{0};
  // The bytes of a target's answer; empty for an answer of the gateway's own.
  std::string head;
  std::string body;
};

// Takes one request to a target: finds the owner of its key or chooses a
// target, and repeats attempts as far as that is safe and allowed.
class GatewayRouter {
 public:
  GatewayRouter(GatewayContext& context, GatewayRequest& request)
      : m_context(context), m_request(request) {}

  Task<GatewayOutcome> Serve();

  // The target of the last attempt.
  const TargetId& target() const { return m_target.id; }
  // What that target last said of its load.
  const std::optional<ReportedLoad>& target_load() const {
    return m_target_load;
  }
  int attempts() const { return m_attempts; }

 private:
  enum class Next { kAgain, kFinish };

  // The target to send to, or false when there is none now.
  bool Choose(MonotonicTime now);
  bool ChooseOwner(MonotonicTime now);
  Task<Next> Attempt();
  Task<bool> Connect(TargetPool& pool, ByteStream& stream);
  // Records how long a keyed service's target worked.
  void NoteTime(const TargetExchange& exchange, MonotonicTime sent);
  Task<Next> AfterRefusal(const TargetExchange& exchange);
  Next AfterLost();
  Next Finish(TargetExchange& exchange);
  // Connections to the target that are kept.
  int ConnectionLimit() const;
  // Whether the request may be sent once more now.
  bool MayRepeat(MonotonicTime now);
  // Waits until the routing state is another than that of version `seen`.
  Task<Next> WaitForChange(std::string_view cause, std::uint64_t seen);
  Next Refuse(std::string_view cause, Milliseconds retry_after);
  Next Fail(int status, std::string_view cause);
  Next AfterInterrupt();

  GatewayContext& m_context;
  GatewayRequest& m_request;
  GatewayService* m_service = nullptr;
  bool m_keyed = false;
  RouteTarget m_target;
  std::optional<ReportedLoad> m_target_load;
  // Version of the routing state by which the target was chosen.
  std::uint64_t m_chosen_by = 0;
  // Targets that refused or lost the request, or could not be reached.
  std::vector<TargetId> m_tried;
  // Times the request was sent.
  int m_attempts = 0;
  // Connections that could not be made.
  int m_unreachable = 0;
  // When the request gives up waiting for an owner.
  std::optional<MonotonicTime> m_wait_until;
  bool m_may_have_run = false;
  GatewayOutcome m_outcome;
};

}  // namespace snipehall
