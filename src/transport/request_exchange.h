#pragma once

#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "transport/active_request.h"

namespace snipehall {

// How an attempt at a target ended.
enum class ExchangeEnd {
  kAnswered,      // The caller has the target's whole answer.
  kBroken,        // Part of the answer was sent and the rest cannot be.
  kRefused,       // The target says that it did not run the request.
  kNotSent,       // No byte of the request left.
  kLost,          // The target's connection failed or its answer is malformed.
  kInterrupted,   // ActiveRequest::interrupt says why; nothing was answered.
  kCallerFailed,  // The caller's body is malformed or ends early.
};

struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kNotSent;
  // A byte of the request may have reached the target.
  bool sent = false;
  // The target's connection may serve another request.
  bool reusable = false;
};

// One attempt to have a request answered over one connection: forwards the
// request, and streams the answer to the caller.
class RequestExchange {
 public:
  // `on_progress` is called for each piece of body that was passed on.
  RequestExchange(ActiveRequest& request,
                  ByteStream& target,
                  const ForwardedValues& values,
                  std::function<void()> on_progress)
      : m_request(request),
        m_target(target),
        m_values(values),
        m_on_progress(std::move(on_progress)) {}
  ~RequestExchange();

  RequestExchange(const RequestExchange&) = delete;
  RequestExchange& operator=(const RequestExchange&) = delete;

  Task<ExchangeResult> Run();

 private:
  using AnswerParser = boost::beast::http::response_parser<ViewBody>;
  using Status = boost::system::error_code;

  // Sends the request. Ends early, with success, when the target answers
  // before it has the whole body.
  Task<Status> Send();
  Task<Status> SendStreamedBody();
  Task<Status> SendPiece(const BodyPiece& piece);
  Task<Status> SendLastChunk();

  Task<Status> ReceiveHead();
  bool IsRefusal() const;
  // Reads the rest of a refusal, so that the connection can be reused.
  Task<bool> SkipAnswer();
  Task<ExchangeEnd> StreamAnswer();
  BodyFraming AnswerFraming() const;
  bool IsReusable() const;
  ExchangeEnd FailureEnd() const;

  ActiveRequest& m_request;
  ByteStream& m_target;
  ForwardedValues m_values;
  std::function<void()> m_on_progress;
  std::optional<AnswerParser> m_parser;
  std::size_t m_sent = 0;
  bool m_sending = false;
  bool m_request_complete = false;
  bool m_caller_failed = false;
};

}  // namespace snipehall
