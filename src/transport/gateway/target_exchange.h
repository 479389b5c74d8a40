#pragma once

#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string>

#include "transport/gateway/gateway_request.h"

namespace snipehall {

// Result of one attempt to send a request to a target.
enum class TargetExchangeResult {
  kAnswered,     // body() and answer() hold the complete answer.
  kRefused,      // The target states that it did not run the request.
  kNotSent,      // No byte of the request was sent.
  kLost,         // The connection failed, or the answer is invalid. The
                 // target may have run the request.
  kInterrupted,  // The wait was cancelled; see GatewayRequest.
};

// Sends a request to a target over one connection and reads the answer. The
// answer is buffered completely before any of it is passed on, so that a
// truncated one can be retried.
class TargetExchange {
 public:
  // Limit of an answer's body.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20;

  TargetExchange(GatewayRequest& request,
                 ByteStream& stream,
                 const GatewayHeaderNames& names)
      : m_request(request), m_stream(stream), m_names(names) {}
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;

  // Sends the request to `target`, with the time left until `deadline` as its
  // time limit, and reads the answer. Call once.
  Task<TargetExchangeResult> Run(std::string_view target,
                                 MonotonicTime deadline);

  // Whether any byte of the request may have reached the target.
  bool sent() const { return m_bytes_written > 0; }
  // Whether the connection can be used for another request.
  bool reusable() const;
  // Load, id and other headers of the last answer; empty until one is received.
  const TargetResponseInfo& info() const { return m_info; }
  // Valid after kAnswered and kRefused.
  unsigned status() const { return m_parser->get().result_int(); }
  const boost::beast::http::response_header<>& answer() const {
    return m_parser->get();
  }
  const std::string& body() const { return m_body; }

 private:
  using Parser = boost::beast::http::response_parser<ViewBody>;
  using IoStatus = boost::system::error_code;

  Task<TargetExchangeResult> Exchange(std::string_view target,
                                      MonotonicTime deadline);
  Task<IoStatus> Send(std::string_view target, MonotonicTime deadline);
  Task<IoStatus> ReceiveAnswer();
  Task<IoStatus> ReceiveHead();
  Task<IoStatus> ReceiveBody();
  TargetExchangeResult FailureResult() const;

  GatewayRequest& m_request;
  ByteStream& m_stream;
  const GatewayHeaderNames& m_names;
  std::optional<Parser> m_parser;
  TargetResponseInfo m_info;
  std::string m_body;
  std::size_t m_bytes_written = 0;
  bool m_sending = false;
  bool m_request_sent = false;
  bool m_answer_complete = false;
};

}  // namespace snipehall
