#include "transport/gateway/target_exchange.h"

#include <algorithm>

#include "protocol/http_head_checks.h"

namespace snipehall {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Maximum number of responses that are read to find the one to the request;
// those to other requests are skipped.
constexpr int kMaxUnrelatedResponses = 4;

// Number of bytes of a head's end that may be missing from the input so far.
constexpr std::size_t kHeadEndOverlap = 3;

// Whether `input`, the beginning of a response, may become a valid one.
bool StartsLikeResponse(std::string_view input) {
  constexpr std::string_view kBegin = "HTTP/1.";
  const std::size_t size = std::min(input.size(), kBegin.size());
  return input.substr(0, size) == kBegin.substr(0, size);
}

Milliseconds TimeLeft(MonotonicTime deadline) {
  return std::max(Milliseconds(1),
                  std::chrono::duration_cast<Milliseconds>(
                      deadline - std::chrono::steady_clock::now()));
}

error_code Aborted() {
  return boost::asio::error::operation_aborted;
}

}  // namespace

Task<TargetExchangeResult> TargetExchange::Run(std::string_view target,
                                               MonotonicTime deadline) {
  std::string head;
  AppendTargetRequest(m_request.parser->get(), m_names, target,
                      TimeLeft(deadline), m_request.body.size(), head);
  return RunWithHead(std::move(head));
}

Task<TargetExchangeResult> TargetExchange::RunForwarded(
    int attempts_left,
    MonotonicTime deadline) {
  std::string head;
  AppendForwardedRequest(m_request.parser->get(), m_names, attempts_left,
                         TimeLeft(deadline), m_request.body.size(), head);
  return RunWithHead(std::move(head));
}

Task<TargetExchangeResult> TargetExchange::RunWithHead(std::string head) {
  m_request.target_stream = &m_stream;
  m_stream.set_on_input([this] {
    // The target answered or closed the connection before the whole request was
    // sent: stop sending and read the response.
    if (m_sending) {
      m_stream.Cancel();
    }
  });
  const TargetExchangeResult end = co_await Exchange(head);
  m_request.target_stream = nullptr;
  m_stream.set_on_input(nullptr);
  co_return end;
}

Task<TargetExchangeResult> TargetExchange::Exchange(const std::string& head) {
  m_sending = true;
  const error_code send_error = co_await Send(head);
  m_sending = false;
  m_request_sent = !send_error;
  if (m_request.wait_cancelled()) {
    co_return TargetExchangeResult::kInterrupted;
  }
  if (send_error && !sent()) {
    co_return TargetExchangeResult::kNotSent;
  }
  // A target that stops reading may have answered already.
  for (int i = 0; i < kMaxUnrelatedResponses; ++i) {
    m_body.clear();
    m_body_memory.Clear();
    const error_code error = co_await ReceiveResponse();
    if (error) {
      m_connection_lost = !has_response();
      co_return FailureResult();
    }
    if (IsResponseToRequest()) {
      break;
    }
  }
  if (m_info.not_run && IsResponseToRequest()) {
    co_return TargetExchangeResult::kRefused;
  }
  const bool success = status() >= 200 && status() < 300;
  if (!m_info.request_id_matches || m_info.has_content_encoding ||
      (success && !m_info.has_signature)) {
    m_response_complete = false;
    co_return TargetExchangeResult::kLost;
  }
  co_return TargetExchangeResult::kAnswered;
}

bool TargetExchange::IsResponseToRequest() const {
  // On a connection without earlier requests, a refusal needs no ID.
  return m_info.request_id_matches ||
         (m_info.not_run && !m_info.has_request_id && !m_reused);
}

TargetExchangeResult TargetExchange::FailureResult() const {
  return m_request.wait_cancelled() ? TargetExchangeResult::kInterrupted
                                    : TargetExchangeResult::kLost;
}

Task<error_code> TargetExchange::Send(const std::string& head) {
  m_stream.StartRead();
  if (m_stream.input_error()) {
    co_return m_stream.input_error();
  }
  const error_code error = co_await m_stream.Write(
      {boost::asio::buffer(head), boost::asio::buffer(m_request.body), {}, {}},
      m_bytes_written);
  co_return error;
}

Task<error_code> TargetExchange::ReceiveResponse() {
  error_code error = co_await ReceiveHead();
  if (!error) {
    error = co_await ReceiveBody();
  }
  co_return error;
}

Task<error_code> TargetExchange::ReceiveHead() {
  int interim_responses = 0;
  // Length of the input that is known not to contain the end of the head.
  std::size_t searched = 0;
  for (;;) {
    const std::string_view input = m_stream.data();
    if (!StartsLikeResponse(input)) {
      co_return error_code(http::error::bad_version);
    }
    const std::size_t found = FindHeadEnd(input.substr(searched));
    const std::size_t size = found > 0 ? searched + found : 0;
    if ((size > 0 ? size : input.size()) > kMaxHeadBytes) {
      co_return error_code(http::error::header_limit);
    }
    if (size == 0) {
      searched = input.size() - std::min(input.size(), kHeadEndOverlap);
      if (m_request.wait_cancelled()) {
        co_return Aborted();
      }
      const error_code error = co_await m_stream.Fill();
      if (error && (error != Aborted() || m_request.wait_cancelled())) {
        co_return error;
      }
      continue;
    }
    if (!CheckHeadBytes(input.substr(0, size))) {
      co_return error_code(http::error::bad_value);
    }
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(size));
    m_parser->body_limit(kMaxBodyBytes);
    m_parser->skip(m_request.parser->get().method() == http::verb::head);
    error_code error;
    const std::size_t used =
        m_parser->put(boost::asio::buffer(input.data(), size), error);
    if (error || !m_parser->is_header_done()) {
      co_return error ? error : error_code(http::error::bad_value);
    }
    m_stream.Consume(used);
    searched = 0;
    const auto& response = m_parser->get();
    if (response.count(http::field::content_length) +
            response.count(http::field::transfer_encoding) >
        1) {
      co_return error_code(http::error::bad_content_length);
    }
    if (status() < 100 || status() == 101 || status() > 599) {
      co_return error_code(http::error::bad_status);
    }
    if (status() >= 200) {
      m_info =
          ParseTargetResponse(response, m_names, m_request.info.request_id);
      co_return error_code();
    }
    if (++interim_responses > kMaxInterimResponses) {
      co_return error_code(http::error::header_limit);
    }
  }
}

Task<error_code> TargetExchange::ReceiveBody() {
  m_response_complete = false;
  const std::uint64_t begin = consumed_bytes();
  while (!m_parser->is_done()) {
    BodyFragment piece;
    const error_code error =
        co_await ReadBodyFragment(m_stream, *m_parser, piece);
    if (error) {
      co_return error;
    }
    if (!m_body_memory.TryGrow(piece.bytes.size())) {
      co_return error_code(http::error::body_limit);
    }
    m_body.append(piece.bytes);
    m_stream.Consume(piece.consumed);
    if (consumed_bytes() - begin > 2 * m_body.size() + kMaxFramingBytes) {
      co_return error_code(http::error::body_limit);
    }
  }
  // A write that failed because the target reset the connection has taken the
  // error from the socket, so that the reset reads like the end of a body.
  if (m_parser->need_eof() && !m_request_sent) {
    co_return error_code(http::error::partial_message);
  }
  m_response_complete = true;
  co_return error_code();
}

bool TargetExchange::reusable() const {
  return m_response_complete && m_request_sent && m_parser->keep_alive() &&
         m_stream.data().empty() && !m_stream.input_error();
}

}  // namespace snipehall
