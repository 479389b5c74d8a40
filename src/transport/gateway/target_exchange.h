#pragma once

#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string>

#include "transport/gateway/gateway_request.h"

namespace snipehall {

// How an attempt at a target ended.
enum class TargetExchangeEnd {
  kAnswered,     // The whole answer is in `body` and `answer`.
  kRefused,      // The target says that it did not run the request.
  kNotSent,      // No byte of the request left.
  kLost,         // The connection failed, or the answer is not a sound one.
  kInterrupted,  // The request was broken off; see GatewayRequest.
};

// One attempt to have a request answered over one connection. The answer is
// read whole before any of it is passed on, so that one that breaks off can be
// asked for again.
class TargetExchange {
 public:
  // Longest body of an answer, bytes.
  static constexpr std::size_t kBodyLimit = std::size_t{16} << 20;

  TargetExchange(GatewayRequest& request,
                 ByteStream& stream,
                 const GatewayHeaderNames& names)
      : m_request(request), m_stream(stream), m_names(names) {}
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;

  // Sends the request, which `target` is to run by `deadline`, and reads the
  // answer.
  Task<TargetExchangeEnd> Run(std::string_view target, MonotonicTime deadline);

  // A byte of the request may have reached the target.
  bool sent() const { return m_written > 0; }
  // The connection may serve another request.
  bool reusable() const;
  const TargetAnswerInfo& info() const { return m_info; }
  unsigned status() const { return m_parser->get().result_int(); }
  const boost::beast::http::response_header<>& answer() const {
    return m_parser->get();
  }
  const std::string& body() const { return m_body; }

 private:
  using Parser = boost::beast::http::response_parser<ViewBody>;
  using Status = boost::system::error_code;

  Task<TargetExchangeEnd> Exchange(std::string_view target,
                                   MonotonicTime deadline);
  Task<Status> Send(std::string_view target, MonotonicTime deadline);
  Task<Status> ReceiveAnswer();
  Task<Status> ReceiveHead();
  Task<Status> ReceiveBody();
  TargetExchangeEnd FailureEnd() const;

  GatewayRequest& m_request;
  ByteStream& m_stream;
  const GatewayHeaderNames& m_names;
  std::optional<Parser> m_parser;
  TargetAnswerInfo m_info;
  std::string m_body;
  std::size_t m_written = 0;
  bool m_sending = false;
  bool m_request_complete = false;
  bool m_whole = false;
};

}  // namespace snipehall
