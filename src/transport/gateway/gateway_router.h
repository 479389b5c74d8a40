#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "state/verdict.h"
#include "transport/gateway/gateway_context.h"
#include "transport/gateway/target_exchange.h"

namespace snipehall {

// Result of a request, for the caller and for logs.
struct GatewayOutcome {
  // HTTP status of the response; zero when the caller has disconnected.
  int status = 0;
  Verdict verdict = Verdict::kNotRun;
  // Reason in a few fixed words, used in logs and as a metric label.
  std::string_view cause;
  // Value of Retry-After; zero when the response is final and has none.
  Milliseconds retry_after{0};
  // Head, without its end, and body of a target's response; empty when the
  // gateway itself generates the response.
  std::string head;
  std::string body;
  // Memory of `body`.
  BufferBudget::Reservation body_memory;
  // Target that made the response; empty when the gateway generates it.
  TargetId target;
};

// Routes one request: finds the owner of its key, or chooses a target by load,
// and retries failed attempts as far as that is safe and the retry budget
// allows.
class GatewayRouter {
 public:
  GatewayRouter(GatewayContext& context, GatewayRequest& request)
      : m_context(context), m_request(request) {}

  // Routes the request until it has an outcome, by its deadline. Call once.
  Task<GatewayOutcome> Serve();

  // Target of the last attempt; empty when no target was chosen.
  const TargetId& target() const { return m_target.id; }
  // Load that this target reported in its last response.
  const std::optional<ReportedLoad>& target_load() const {
    return m_target_load;
  }
  int attempts() const { return m_attempts; }
  // Time from the arrival of the request to the last attempt; no value if it
  // was not sent.
  std::optional<Milliseconds> sent_after() const { return m_sent_after; }

 private:
  // Whether the current target has stated that the request does not belong to
  // it.
  bool IsMisdirected(const RouteTarget& target, FencingToken token) const;
  // What follows an attempt.
  enum class Action { kRetry, kFinish };

  // Chooses a target and sends it the request, or waits until that is possible.
  Task<Action> TryOnce();
  // Sets `m_target` to the target of the next attempt. Returns false when none
  // is available now.
  bool ChooseTarget(MonotonicTime now);
  // The same for a keyed service: the owner of the request's key.
  bool ChooseOwner(MonotonicTime now);
  // Chooses a target of a service without keys that has cold targets: these
  // only if no other target is left that was not tried.
  std::optional<std::size_t> ChooseAmongColdTargets(MonotonicTime now);
  // Whether the request crashes its targets and must not be sent.
  bool IsBlocked() const;
  RequestDigest digest() const;
  // Updates the suspicion that the request crashes its targets after a crash or
  // a complete response.
  void RecordTargetCrash(MonotonicTime sent_at, MonotonicTime lost_at);
  void RecordResponse();
  // Whether the process of the target, to which a connection was lost, has
  // ended: it refuses connections or has started anew. A full target that
  // closes connections, or one that is cut off, has not.
  Task<bool> HasTargetEnded(const std::shared_ptr<TargetPool>& pool);
  // Decides whether the request may be sent to `m_target` now; see
  // RequestAdmission. Returns nothing if so, after a wait or a refusal the next
  // action.
  Task<std::optional<Action>> Admit();
  AdmissionDecision DecideAdmission(MonotonicTime now);
  // Whether `m_target` may be sent the request within its rate limit, if it has
  // one.
  Task<bool> AcquirePermit();
  // Rate at which the leader grants permits for `m_target`, requests per
  // second; nothing if it needs none.
  std::optional<double> PermitRate() const;
  // Whether `m_target` is cold, so that it gets nothing without a permit.
  bool IsTargetCold() const;
  // What follows if `m_target` takes no requests for `wait`: another target, or
  // a refusal with `cause`.
  Action TryOtherTarget(std::string_view cause, Milliseconds wait);
  // Sends the request to another instance, because this one reaches no target
  // of the service; waits until such an instance is known.
  Task<Action> Forward();
  // Sends the request to the instance at `address`, which serves it.
  Task<Action> ForwardTo(std::string address);
  // What follows after another instance has answered the forwarded request.
  Action HandleForwardedResponse(TargetExchange& exchange);
  // Connects to `m_target` if needed and sends the request once.
  Task<Action> RunAttempt();
  // Connects to `m_target`. False when the connection failed or the request was
  // interrupted.
  Task<bool> Connect(TargetPool& pool, ByteStream& stream);
  // The same for any address, without recording the result.
  Task<bool> OpenConnection(TargetPool& pool, ByteStream& stream);
  // To how many targets the request may be sent.
  int max_attempts() const;
  // Updates what is known of the target after a response: its rate limit, the
  // pause that it asks for, and whether it is leaving.
  void RecordTargetState(const TargetResponseInfo& info);
  // Records what the attempt, which began at `sent`, shows of the capacity of
  // `m_target`; see TargetLoadTable.
  void RecordCapacity(const TargetExchange& exchange,
                      TargetExchangeResult result,
                      MonotonicTime sent);
  // Records the service time of a keyed service's target, which the leader uses
  // to balance keys.
  void RecordServiceTime(const TargetExchange& exchange, MonotonicTime sent);
  // Decides between a retry and a final response after an attempt failed.
  Task<Action> HandleRefusal(const TargetExchange& exchange);
  Action HandleLostResponse();
  // Makes the target's response the outcome.
  Action AcceptResponse(TargetExchange& exchange);
  // Limit of this instance's connections to the target, idle ones included.
  int ConnectionLimit() const;
  // Whether the request may be sent again; takes a retry from the service's
  // budget if so.
  bool TryTakeRetry(MonotonicTime now);
  // Waits until the routing state has another version than `seen`, or for
  // kOwnerPollInterval. Finishes with 503 and `cause` when the request has
  // waited too long in all.
  Task<Action> WaitForStateChange(std::string_view cause, std::uint64_t seen);
  // Ends the request with 503 and Retry-After, or with 502 when a target may
  // have run it.
  Action FinishUnavailable(std::string_view cause, Milliseconds retry_after);
  // Ends the request with `status` and without Retry-After; a status of zero
  // means that nothing is sent.
  Action FinishWithError(int status, std::string_view cause);
  // Ends a request whose deadline passed or whose caller left.
  Action HandleInterruption();

  GatewayContext& m_context;
  GatewayRequest& m_request;
  GatewayService* m_service = nullptr;
  bool m_keyed = false;
  RouteTarget m_target;
  // Start time of the process of `m_target`; see ListedTarget.
  std::int64_t m_target_start_ms = 0;
  // Token of the assignment from which the owner was chosen; zero for a service
  // without keys.
  FencingToken m_fencing_token = 0;
  std::optional<ReportedLoad> m_target_load;
  // Version of the routing state from which the target was chosen.
  std::uint64_t m_chosen_version = 0;
  // Connections on which a target refused the request. A second copy of the
  // refusal may follow there, which would pass for a response to the retry.
  std::vector<std::weak_ptr<ByteStream>> m_refused_connections;
  // An assignment of the request's key whose target said that it is not the
  // owner, or that another target has its address now.
  struct Misdirection {
    TargetId target;
    std::string address;
    // Zero for a service without keys.
    FencingToken fencing_token = 0;

    bool operator==(const Misdirection&) const = default;
  };

  // Targets to which the request is not sent again unless they get its key
  // anew.
  std::vector<Misdirection> m_misdirections;
  // Targets that refused the request, lost it, could not be reached or are at
  // their rate limits.
  std::vector<TargetId> m_tried_targets;
  // Instances that could not serve the forwarded request.
  std::vector<std::string> m_tried_forwarders;
  // The last attempt was sent to another instance.
  bool m_forwarded = false;
  // Time until a target may be sent the request within its rate limit.
  Milliseconds m_limit_retry_after{0};
  // How often a cold target did not get the request for want of a permit.
  int m_cold_refusals = 0;
  // How often the request was sent.
  int m_attempts = 0;
  std::optional<Milliseconds> m_sent_after;
  // Failed connection attempts.
  int m_failed_connects = 0;
  // When the request stops waiting for an owner or a target.
  std::optional<MonotonicTime> m_wait_deadline;
  // An earlier attempt may have been executed.
  bool m_may_have_run = false;
  // The request has been held before it was sent; see Admit().
  bool m_held = false;
  // It was among those for a busy key that may be sent.
  bool m_key_admitted = false;
  GatewayOutcome m_outcome;
};

}  // namespace snipehall
