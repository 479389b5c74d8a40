#pragma once

#include <optional>
#include <string>

#include "state/verdict.h"
#include "transport/active_request.h"
#include "transport/data_context.h"
#include "transport/request_exchange.h"

namespace snipehall {

// An answer of the instance's own.
struct LocalReply {
  int status = 503;
  Verdict verdict = Verdict::kNotRun;
  RefusalReason reason = RefusalReason::kNotReady;
  // Sent as Retry-After when above zero.
  Milliseconds retry_after{0};
};

// How a request ended.
struct ServeOutcome {
  // What the caller is to be told; nothing when the target's answer was sent
  // or nothing can be sent any more.
  std::optional<LocalReply> reply;
  Verdict verdict = Verdict::kNotRun;
  // The caller's connection cannot be used any more.
  bool close = false;
};

// Takes one request to a target: finds the owner or chooses a target, waits
// for a slot, and repeats attempts as far as that is safe.
class RequestRouter {
 public:
  RequestRouter(DataContext& context,
                ActiveRequest& request,
                std::shared_ptr<ServiceState> service,
                std::size_t class_index)
      : m_context(context),
        m_request(request),
        m_service(std::move(service)),
        m_class_index(class_index) {}

  Task<ServeOutcome> Serve();

 private:
  // What to do after a step.
  enum class Next { kProceed, kAgain, kFinish };

  // A target with the table that names it.
  struct Choice {
    std::shared_ptr<const RoutingTable> table;
    const RouteTarget* target = nullptr;
    LogOffset token = 0;
  };

  // One attempt, from the choice of a target on.
  Task<Next> Try();
  // The owner, or a target that may be chosen; without one, `target` is null.
  Choice Choose(MonotonicTime now);
  Task<Next> Admit(AdmissionGate& gate);
  Task<Next> AttemptAt(const Choice& choice, AdmissionGate::Slot& slot);
  // Whether the choice is still the owner by a state that is confirmed now.
  bool IsConfirmedOwner(const Choice& choice, MonotonicTime now);
  Task<Next> Connect(TargetPool& pool, ByteStream& stream);
  ForwardedValues ValuesFor(const Choice& choice, MonotonicTime now) const;

  void NoteEnd(const Choice& choice, const ExchangeResult& result);
  Task<Next> AfterExchange(const Choice& choice, const ExchangeResult& result);
  // The request was not run by the target: repeats or refuses it.
  Task<Next> AfterNotRun(const Choice& choice, RefusalReason reason);
  // Takes a retry from the request's attempts and the service's budget.
  bool TakeRetry();
  Next AfterLost(const Choice& choice);
  Next AfterInterrupt();

  // Waits for a table newer than the choice's; refuses the request when too
  // many others wait.
  Task<Next> WaitForTable(const Choice& choice, Milliseconds at_most);
  Next Refuse(int status,
              Verdict verdict,
              RefusalReason reason,
              Milliseconds retry_after = Milliseconds(0));
  Next RefuseAdmission(AdmissionOutcome outcome, const AdmissionGate& gate);

  DataContext& m_context;
  ActiveRequest& m_request;
  std::shared_ptr<ServiceState> m_service;
  std::size_t m_class_index;
  std::uint64_t m_hash = 0;
  // Target that the request is not sent to again.
  TargetId m_excluded;
  int m_attempts = 0;
  ServeOutcome m_outcome;
};

}  // namespace snipehall
