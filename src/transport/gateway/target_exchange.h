#pragma once

#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "coordination/buffer_budget.h"
#include "transport/gateway/gateway_request.h"

namespace snipehall {

// Result of one attempt to send a request to a target.
enum class TargetExchangeResult {
  kAnswered,     // body() and response() hold the complete response.
  kRefused,      // The target states, by a header or status 421, that it did
                 // not run the request.
  kNotSent,      // The connection failed before a byte of the request was
                 // sent; a new connection may succeed.
  kLost,         // The connection failed later, or the response is invalid
                 // or too large. The target may have run the request.
  kInterrupted,  // The caller disconnected or the request's deadline passed;
                 // see GatewayRequest::wait_cancelled().
};

// Sends a request to a target over one connection and reads the response. The
// response is buffered completely before any of it is passed on, so that the
// request can be sent again when the response is truncated.
class TargetExchange {
 public:
  // Maximum size of a response's body; a larger response gives kLost, as does
  // one that exceeds its share of `buffers`.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20;
  // Maximum size of a response's head, bytes.
  static constexpr std::size_t kMaxHeadBytes = std::size_t{32} << 10;
  // Maximum number of interim (1xx) responses before the final one.
  static constexpr int kMaxInterimResponses = 8;
  // Chunk sizes, chunk extensions and trailers of a chunked body may together
  // take this many bytes more than the body.
  static constexpr std::size_t kMaxFramingBytes = std::size_t{64} << 10;

  // `reused` tells whether the connection has served another request before.
  // All arguments must outlive the object.
  TargetExchange(GatewayRequest& request,
                 ByteStream& stream,
                 const GatewayHeaderNames& names,
                 BufferBudget& buffers,
                 bool reused)
      : m_request(request),
        m_stream(stream),
        m_names(names),
        m_reused(reused),
        m_received_before(stream.received_bytes()),
        m_body_memory(buffers) {}
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;

  // Sends the request and reads the response. `target` is the id of the target
  // and, like the time left until `deadline`, is sent in a header; the deadline
  // itself is enforced by GatewayRequest. Call once.
  Task<TargetExchangeResult> Run(std::string_view target,
                                 MonotonicTime deadline);
  // The same with another instance in the place of the target, which may send
  // the request to `attempts_left` targets. kRefused then means that no target
  // has run it.
  Task<TargetExchangeResult> RunForwarded(int attempts_left,
                                          MonotonicTime deadline);

  // Whether any byte of the request may have reached the target.
  bool sent() const { return m_bytes_written > 0; }
  // Whether the target has sent anything since.
  bool has_response() const {
    return m_stream.received_bytes() > m_received_before;
  }
  // Whether the connection can be used for another request. Valid after Run().
  bool reusable() const;
  // Whether the connection ended before any byte of a response, as it does when
  // the target crashes. Valid after kLost.
  bool connection_lost() const { return m_connection_lost; }
  // Load, id and other headers of the response; empty until one is received.
  const TargetResponseInfo& info() const { return m_info; }
  // Valid after kAnswered and kRefused.
  unsigned status() const { return m_parser->get().result_int(); }
  const boost::beast::http::response_header<>& response() const {
    return m_parser->get();
  }
  const std::string& body() const { return m_body; }
  // Moves the body, and the memory reserved for it, out of the object.
  std::string TakeBody() { return std::move(m_body); }
  BufferBudget::Reservation TakeBodyMemory() {
    return std::move(m_body_memory);
  }

 private:
  using Parser = boost::beast::http::response_parser<ViewBody>;
  using IoStatus = boost::system::error_code;

  // `head` is the head of the request to send.
  Task<TargetExchangeResult> RunWithHead(std::string head);
  Task<TargetExchangeResult> Exchange(const std::string& head);
  Task<IoStatus> Send(const std::string& head);
  Task<IoStatus> ReceiveResponse();
  Task<IoStatus> ReceiveHead();
  Task<IoStatus> ReceiveBody();
  TargetExchangeResult FailureResult() const;
  // Whether the last response belongs to the request.
  bool IsResponseToRequest() const;
  // Number of bytes of the connection's input that have been consumed.
  std::uint64_t consumed_bytes() const {
    return m_stream.received_bytes() - m_stream.data().size();
  }

  GatewayRequest& m_request;
  ByteStream& m_stream;
  const GatewayHeaderNames& m_names;
  const bool m_reused;
  const std::uint64_t m_received_before;
  std::optional<Parser> m_parser;
  TargetResponseInfo m_info;
  std::string m_body;
  BufferBudget::Reservation m_body_memory;
  std::size_t m_bytes_written = 0;
  bool m_sending = false;
  bool m_request_sent = false;
  bool m_response_complete = false;
  bool m_connection_lost = false;
};

}  // namespace snipehall
