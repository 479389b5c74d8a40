#pragma once

#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "transport/active_request.h"

namespace snipehall {

// Outcome of one attempt at a target.
enum class ExchangeOutcome {
  kCompleted,     // The complete response was sent to the caller.
  kTruncated,     // Only part of the response could be sent.
  kRefused,       // The target reports that it did not run the request.
  kNotSent,       // No byte of the request was sent.
  kTargetFailed,  // Connection failed or response malformed.
  kCancelled,     // No response sent; see ActiveRequest::cancel_reason.
  kInvalidBody,   // The caller's body is malformed or incomplete.
};

struct ExchangeResult {
  ExchangeOutcome outcome = ExchangeOutcome::kNotSent;
  // Part of the request may have reached the target.
  bool sent = false;
  // The target connection can be used for another request.
  bool reusable = false;
};

// One attempt at a request over one target connection: forwards the request and
// streams the response to the caller. Use each object for one Run().
class RequestExchange {
 public:
  // `on_progress` is called whenever part of the request or response body has
  // been forwarded.
  RequestExchange(ActiveRequest& request,
                  ByteStream& target,
                  const ForwardedHeaderValues& values,
                  std::function<void()> on_progress)
      : m_request(request),
        m_target(target),
        m_values(values),
        m_on_progress(std::move(on_progress)) {}
  ~RequestExchange();

  RequestExchange(const RequestExchange&) = delete;
  RequestExchange& operator=(const RequestExchange&) = delete;

  // Performs the exchange. Ends when the request is cancelled.
  Task<ExchangeResult> Run();

 private:
  using ResponseParser = boost::beast::http::response_parser<ViewBody>;
  using IoError = boost::system::error_code;

  // Sends the request. Stops early and succeeds if the target responds before
  // it has received the complete body.
  Task<IoError> SendRequest();
  Task<IoError> SendStreamedBody();
  Task<IoError> SendBodyFragment(const BodyFragment& piece);
  Task<IoError> SendLastChunk();

  // Reads the head of the final response, skipping interim (1xx) responses.
  Task<IoError> ReceiveResponseHead();
  bool IsRefusal() const;
  // Discards the body of a refusal, so that the connection can be reused.
  // Returns whether its end was reached.
  Task<bool> DiscardResponse();
  Task<ExchangeOutcome> StreamResponse();
  // Framing of the response sent to the caller.
  BodyFraming ResponseFraming() const;
  bool IsConnectionReusable() const;
  ExchangeOutcome FailureOutcome() const;

  ActiveRequest& m_request;
  ByteStream& m_target;
  ForwardedHeaderValues m_values;
  std::function<void()> m_on_progress;
  std::optional<ResponseParser> m_parser;
  std::size_t m_bytes_sent = 0;
  bool m_sending = false;
  bool m_request_complete = false;
  bool m_body_invalid = false;
};

}  // namespace snipehall
