#include "transport/request_exchange.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>

#include "protocol/http_head_checks.h"
#include "protocol/target_protocol.h"

namespace snipehall {

namespace {

namespace http = boost::beast::http;
using boost::asio::buffer;
using boost::system::error_code;

constexpr std::string_view kCrlf = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Longer refusal bodies are not read, since opening a new connection is
// cheaper.
constexpr std::size_t kMaxRefusalBodyBytes = std::size_t{64} * 1024;

boost::asio::const_buffer BufferOf(std::string_view text) {
  return buffer(text.data(), text.size());
}

// The chunk-size line of the chunked transfer coding.
class ChunkSizeLine {
 public:
  explicit ChunkSizeLine(std::size_t size) {
    char* end = std::to_chars(m_text.data(), m_text.data() + 16, size, 16).ptr;
    *end++ = '\r';
    *end++ = '\n';
    m_size = static_cast<std::size_t>(end - m_text.data());
  }
  boost::asio::const_buffer bytes() const {
    return buffer(m_text.data(), m_size);
  }

 private:
  std::array<char, 18> m_text;
  std::size_t m_size = 0;
};

}  // namespace

RequestExchange::~RequestExchange() {
  m_request.target = nullptr;
  m_target.set_on_input(nullptr);
}

Task<ExchangeResult> RequestExchange::Run() {
  m_request.target = &m_target;
  m_target.set_on_input([this] {
    // The response or the end of the connection arrived before the request was
    // sent completely. Stop sending and process it.
    if (m_sending) {
      m_target.Cancel();
      m_request.caller.Cancel();
    }
  });
  ExchangeResult result;
  m_sending = true;
  const error_code send_error = co_await SendRequest();
  m_sending = false;
  if (m_request.body_streamed) {
    m_request.timer.Arm(m_request.deadline);
  }
  result.sent = m_bytes_sent > 0;
  if (m_request.is_cancelled()) {
    result.outcome = ExchangeOutcome::kCancelled;
    co_return result;
  }
  if (m_body_invalid) {
    result.outcome = ExchangeOutcome::kInvalidBody;
    co_return result;
  }
  if (send_error && !result.sent) {
    result.outcome = ExchangeOutcome::kNotSent;
    co_return result;
  }
  // Read a response also after a failed write: the target may have responded
  // before it stopped reading.
  const error_code error = co_await ReceiveResponseHead();
  if (error) {
    result.outcome = FailureOutcome();
    co_return result;
  }
  if (IsRefusal()) {
    result.outcome = ExchangeOutcome::kRefused;
    const bool complete = co_await DiscardResponse();
    result.reusable = complete && IsConnectionReusable();
    co_return result;
  }
  result.outcome = co_await StreamResponse();
  result.reusable =
      result.outcome == ExchangeOutcome::kCompleted && IsConnectionReusable();
  co_return result;
}

ExchangeOutcome RequestExchange::FailureOutcome() const {
  return m_request.is_cancelled() ? ExchangeOutcome::kCancelled
                                  : ExchangeOutcome::kTargetFailed;
}

Task<error_code> RequestExchange::SendRequest() {
  std::string& head = m_request.head_buffer;
  head.clear();
  AppendForwardedRequestHead(m_request.parser->get(), m_values, head);
  m_target.StartRead();
  if (m_target.input_error()) {
    co_return m_target.input_error();
  }
  if (m_request.body_streamed) {
    const error_code error = co_await SendStreamedBody();
    co_return error;
  }
  if (!m_request.watches_caller) {
    m_request.WatchCaller();
  }
  std::string_view body;
  if (m_request.framing == BodyFraming::kLength) {
    body = m_request.caller.data().substr(0, m_request.body_length);
  }
  const error_code error = co_await m_target.Write(
      {BufferOf(head), BufferOf(body), {}, {}}, m_bytes_sent);
  m_request_complete = !error;
  co_return error;
}

Task<error_code> RequestExchange::SendStreamedBody() {
  RequestParser& parser = *m_request.parser;
  if (m_request.caller.data().empty()) {
    const error_code error = co_await m_target.Write(
        {BufferOf(m_request.head_buffer), {}, {}, {}}, m_bytes_sent);
    m_request.head_buffer.clear();
    if (error) {
      co_return error;
    }
  }
  if (m_request.expects_continue) {
    m_request.expects_continue = false;
    std::size_t ignored = 0;
    co_await m_request.caller.Write({BufferOf(kContinue), {}, {}, {}}, ignored);
  }
  m_request.body_consumed = true;
  while (!parser.is_done()) {
    if (m_request.is_cancelled() || !m_target.data().empty() ||
        m_target.input_error()) {
      co_return error_code();
    }
    m_request.timer.Arm(std::min(
        m_request.deadline,
        std::chrono::steady_clock::now() + m_request.body_idle_timeout));
    BodyFragment piece;
    error_code error =
        co_await ReadBodyFragment(m_request.caller, parser, piece);
    if (error) {
      const bool stopped = m_request.is_cancelled() ||
                           !m_target.data().empty() || m_target.input_error();
      m_body_invalid = !stopped;
      co_return error_code();
    }
    error = co_await SendBodyFragment(piece);
    m_request.caller.Consume(piece.consumed);
    m_on_progress();
    if (error) {
      co_return error;
    }
  }
  const error_code error = co_await SendLastChunk();
  m_request_complete = !error;
  m_request.WatchCaller();
  co_return error;
}

Task<error_code> RequestExchange::SendBodyFragment(const BodyFragment& piece) {
  if (piece.bytes.empty()) {
    co_return error_code();
  }
  const ChunkSizeLine size_line(piece.bytes.size());
  const bool chunked = m_request.framing == BodyFraming::kChunked;
  ByteStream::Buffers buffers = {
      BufferOf(m_request.head_buffer), {}, BufferOf(piece.bytes), {}};
  if (chunked) {
    buffers[1] = size_line.bytes();
    buffers[3] = BufferOf(kCrlf);
  }
  const error_code error = co_await m_target.Write(buffers, m_bytes_sent);
  m_request.head_buffer.clear();
  co_return error;
}

Task<error_code> RequestExchange::SendLastChunk() {
  if (m_request.framing != BodyFraming::kChunked) {
    co_return error_code();
  }
  const error_code error = co_await m_target.Write(
      {BufferOf(m_request.head_buffer), BufferOf(kLastChunk), {}, {}},
      m_bytes_sent);
  m_request.head_buffer.clear();
  co_return error;
}

Task<error_code> RequestExchange::ReceiveResponseHead() {
  for (;;) {
    const std::string_view input = m_target.data();
    const std::size_t size = FindHeadEnd(input);
    if (size == 0) {
      if (m_request.is_cancelled()) {
        co_return error_code(boost::asio::error::operation_aborted);
      }
      const error_code error = co_await m_target.Fill();
      if (error) {
        co_return error;
      }
      continue;
    }
    if (!CheckHeadBytes(input.substr(0, size))) {
      co_return error_code(http::error::bad_value);
    }
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(size));
    m_parser->body_limit(boost::none);
    m_parser->skip(m_request.parser->get().method() == http::verb::head);
    error_code error;
    const std::size_t used = m_parser->put(buffer(input.data(), size), error);
    m_target.Consume(used);
    if (error || !m_parser->is_header_done()) {
      co_return error ? error : error_code(http::error::bad_value);
    }
    const auto& response = m_parser->get();
    if (response.count(http::field::content_length) +
            response.count(http::field::transfer_encoding) >
        1) {
      co_return error_code(http::error::bad_content_length);
    }
    const unsigned status = response.result_int();
    if (status == 101 || status < 100) {
      co_return error_code(http::error::bad_status);
    }
    if (status >= 200) {
      m_request.response_status = static_cast<int>(status);
      co_return error_code();
    }
  }
}

bool RequestExchange::IsRefusal() const {
  const auto& response = m_parser->get();
  const auto verdict = response[{kVerdictHeader.data(), kVerdictHeader.size()}];
  return (response.result() == http::status::conflict ||
          response.result() == http::status::service_unavailable) &&
         verdict == "not-run";
}

Task<bool> RequestExchange::DiscardResponse() {
  std::size_t skipped = 0;
  while (!m_parser->is_done() && skipped <= kMaxRefusalBodyBytes) {
    BodyFragment piece;
    const error_code error =
        co_await ReadBodyFragment(m_target, *m_parser, piece);
    if (error) {
      co_return false;
    }
    m_target.Consume(piece.consumed);
    skipped += piece.consumed;
  }
  co_return m_parser->is_done();
}

BodyFraming RequestExchange::ResponseFraming() const {
  const auto& response = m_parser->get();
  if (m_request.parser->get().method() == http::verb::head ||
      response.result() == http::status::no_content ||
      response.result() == http::status::not_modified) {
    return BodyFraming::kNone;
  }
  // A body delimited by the end of the connection is forwarded with chunked
  // coding, so that the caller can distinguish its end from a failure.
  return m_parser->content_length() ? BodyFraming::kLength
                                    : BodyFraming::kChunked;
}

Task<ExchangeOutcome> RequestExchange::StreamResponse() {
  const BodyFraming framing = ResponseFraming();
  const bool chunked = framing == BodyFraming::kChunked;
  m_request.keep_alive = m_request.keep_alive && m_request_complete;
  std::string& head = m_request.head_buffer;
  head.clear();
  AppendResponseHead(m_parser->get(), framing,
                     m_parser->content_length().value_or(0),
                     m_request.keep_alive, head);
  bool done = false;
  while (!done) {
    BodyFragment piece;
    // Forward the head immediately if no body bytes have arrived.
    if (head.empty() || !m_target.data().empty() || m_parser->is_done()) {
      const error_code error =
          co_await ReadBodyFragment(m_target, *m_parser, piece);
      if (error) {
        co_return m_request.response_started ? ExchangeOutcome::kTruncated
                                             : FailureOutcome();
      }
      done = m_parser->is_done();
    }
    const ChunkSizeLine size_line(piece.bytes.size());
    ByteStream::Buffers buffers = {
        BufferOf(head), {}, BufferOf(piece.bytes), {}};
    if (chunked && !piece.bytes.empty()) {
      buffers[1] = size_line.bytes();
      buffers[3] = BufferOf(kCrlf);
    } else if (chunked && done) {
      buffers[1] = BufferOf(kLastChunk);
    }
    if (m_request.is_cancelled()) {
      co_return m_request.response_started ? ExchangeOutcome::kTruncated
                                           : ExchangeOutcome::kCancelled;
    }
    m_request.response_started = true;
    std::size_t written = 0;
    const error_code error = co_await m_request.caller.Write(buffers, written);
    if (error) {
      co_return ExchangeOutcome::kTruncated;
    }
    head.clear();
    m_target.Consume(piece.consumed);
    if (!done) {
      m_on_progress();
    }
  }
  co_return ExchangeOutcome::kCompleted;
}

bool RequestExchange::IsConnectionReusable() const {
  return m_request_complete && m_parser->keep_alive() &&
         m_target.data().empty() && !m_target.input_error();
}

}  // namespace snipehall
