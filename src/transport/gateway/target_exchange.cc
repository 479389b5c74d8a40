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

error_code Aborted() {
  return boost::asio::error::operation_aborted;
}

}  // namespace

Task<TargetExchangeResult> TargetExchange::Run(std::string_view target,
                                               MonotonicTime deadline) {
  m_request.target_stream = &m_stream;
  m_stream.set_on_input([this] {
    // The target answered or closed the connection before the whole request was
    // sent: stop sending and read the response.
    if (m_sending) {
      m_stream.Cancel();
    }
  });
  const TargetExchangeResult end = co_await Exchange(target, deadline);
  m_request.target_stream = nullptr;
  m_stream.set_on_input(nullptr);
  co_return end;
}

Task<TargetExchangeResult> TargetExchange::Exchange(std::string_view target,
                                                    MonotonicTime deadline) {
  m_sending = true;
  const error_code send_error = co_await Send(target, deadline);
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
    const error_code error = co_await ReceiveResponse();
    if (error) {
      co_return FailureResult();
    }
    if (m_info.request_id_matches || m_info.not_run) {
      break;
    }
  }
  if (m_info.not_run) {
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

TargetExchangeResult TargetExchange::FailureResult() const {
  return m_request.wait_cancelled() ? TargetExchangeResult::kInterrupted
                                    : TargetExchangeResult::kLost;
}

Task<error_code> TargetExchange::Send(std::string_view target,
                                      MonotonicTime deadline) {
  const Milliseconds time_left = std::max(
      Milliseconds(1), std::chrono::duration_cast<Milliseconds>(
                           deadline - std::chrono::steady_clock::now()));
  std::string head;
  AppendTargetRequest(m_request.parser->get(), m_names, target, time_left,
                      m_request.body.size(), head);
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
  for (;;) {
    const std::string_view input = m_stream.data();
    const std::size_t size = FindHeadEnd(input);
    if (size == 0) {
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
  }
}

Task<error_code> TargetExchange::ReceiveBody() {
  m_response_complete = false;
  while (!m_parser->is_done()) {
    BodyFragment piece;
    const error_code error =
        co_await ReadBodyFragment(m_stream, *m_parser, piece);
    if (error) {
      co_return error;
    }
    m_body.append(piece.bytes);
    m_stream.Consume(piece.consumed);
  }
  m_response_complete = true;
  co_return error_code();
}

bool TargetExchange::reusable() const {
  return m_response_complete && m_request_sent && m_parser->keep_alive() &&
         m_stream.data().empty() && !m_stream.input_error();
}

}  // namespace snipehall
