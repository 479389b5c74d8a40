#include "transport/gateway/gateway_session.h"

#include <algorithm>

#include "protocol/end_to_end_headers.h"
#include "protocol/http_head_checks.h"

namespace snipehall {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Time limit for a caller to receive a response.
constexpr Milliseconds kWriteTimeout{5000};
// Time limit for each read of a request's body.
constexpr Milliseconds kBodyReadTimeout{5000};
// Retry-After while the instance has no configuration.
constexpr Milliseconds kNotReadyRetryAfter{300};
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

// The value of a Host header without its port.
std::string_view StripPort(std::string_view value) {
  return value.substr(0, value.find(':'));
}

// Whether the error comes from the HTTP parser and not from the connection.
bool IsParserError(const error_code& error) {
  return error.category() ==
         http::make_error_code(http::error::bad_chunk).category();
}

}  // namespace

GatewaySession::GatewaySession(GatewayContext& context, Socket socket)
    : m_context(context),
      m_stream(std::make_shared<ByteStream>(std::move(socket))),
      m_request(context.executor, *m_stream) {
  m_context.sessions.insert(this);
}

GatewaySession::~GatewaySession() {
  m_stream->Close();
  m_context.sessions.erase(this);
}

void GatewaySession::CloseIfIdle() {
  if (!m_busy && !m_stream->HasUnreadInput()) {
    m_request.OnCallerDisconnected();
  }
}

RequestLimits GatewaySession::limits() const {
  return m_context.state.policy() ? m_context.state.policy()->limits()
                                  : RequestLimits();
}

Task<void> GatewaySession::Run() {
  const auto self = shared_from_this();
  m_stream->set_on_input([this] {
    if (m_watching_caller && m_stream->input_error()) {
      m_request.OnCallerDisconnected();
    }
  });
  bool open = true;
  while (open) {
    m_request.Reset();
    open = co_await ReadRequest();
    if (open) {
      const bool found = co_await FindRoute();
      if (found) {
        co_await Serve();
      }
      m_busy = false;
      open = m_request.keep_alive && !m_request.caller_disconnected();
    }
  }
  m_busy = false;
  m_stream->Close();
}

Task<bool> GatewaySession::ReadRequest() {
  bool complete = co_await ReadHead();
  if (complete) {
    complete = co_await ReadBody();
  }
  co_return complete;
}

Task<bool> GatewaySession::ReadHead() {
  if (m_stream->data().empty()) {
    m_stream->ShrinkIfIdle();
  }
  const RequestLimits bounds = limits();
  m_request.SetStepDeadline(Now() + bounds.idle_timeout);
  for (;;) {
    const std::string_view input = m_stream->data();
    if (!input.empty() && !m_busy) {
      m_busy = true;
      m_request.received_at = Now();
      m_request.SetStepDeadline(m_request.received_at + bounds.head_timeout);
    }
    const std::size_t size =
        FindHeadEnd(input.substr(0, bounds.max_head_bytes));
    if (size > 0) {
      m_request.ClearStepDeadline();
      if (ParseHead(size)) {
        co_return true;
      }
      co_await Reject(400, "malformed head");
      co_return false;
    }
    if (!CheckHeadBytes(input)) {
      co_await Reject(400, "malformed head");
      co_return false;
    }
    if (input.size() >= bounds.max_head_bytes) {
      co_await Reject(431, "head too large");
      co_return false;
    }
    if (!m_request.wait_cancelled()) {
      const error_code error = co_await m_stream->Fill();
      if (!error || (error == boost::asio::error::operation_aborted &&
                     !m_request.wait_cancelled())) {
        continue;
      }
    }
    if (m_busy && m_request.step_expired()) {
      co_await Reject(408, "head took too long");
    }
    co_return false;
  }
}

bool GatewaySession::ParseHead(std::size_t size) {
  const std::string_view head = m_stream->data().substr(0, size);
  if (!CheckHeadBytes(head)) {
    return false;
  }
  m_request.parser.emplace();
  GatewayRequest::Parser& parser = *m_request.parser;
  parser.header_limit(static_cast<std::uint32_t>(size));
  parser.body_limit(boost::none);
  error_code error;
  const std::size_t used =
      parser.put(boost::asio::buffer(head.data(), head.size()), error);
  if (error || !parser.is_header_done() ||
      !CheckRequestHead(parser.get()).has_value()) {
    return false;
  }
  m_stream->Consume(used);
  const auto info = ParseGatewayRequest(parser.get(), m_context.names);
  if (!info) {
    return false;
  }
  m_request.info = info.value();
  m_request.keep_alive = parser.get().keep_alive();
  return true;
}

Task<bool> GatewaySession::ReadBody() {
  GatewayRequest::Parser& parser = *m_request.parser;
  const std::uint64_t limit = limits().max_body_bytes;
  if (parser.content_length().value_or(0) > limit) {
    co_await Reject(413, "body too large");
    co_return false;
  }
  if (!parser.is_done() && parser.get().count(http::field::expect) > 0) {
    std::size_t ignored = 0;
    co_await m_stream->Write(
        {boost::asio::buffer(kContinueResponse), {}, {}, {}}, ignored);
  }
  if (const auto length = parser.content_length()) {
    m_request.body.reserve(static_cast<std::size_t>(*length));
  }
  while (!parser.is_done()) {
    m_request.SetStepDeadline(Now() + kBodyReadTimeout);
    BodyFragment piece;
    const error_code error =
        co_await ReadBodyFragment(*m_stream, parser, piece);
    if (error) {
      if (m_request.step_expired()) {
        co_await Reject(408, "body took too long");
      } else if (IsParserError(error)) {
        co_await Reject(400, "malformed body");
      }
      co_return false;
    }
    m_request.body.append(piece.bytes);
    m_stream->Consume(piece.consumed);
    if (m_request.body.size() > limit) {
      co_await Reject(413, "body too large");
      co_return false;
    }
  }
  m_request.ClearStepDeadline();
  co_return true;
}

Task<bool> GatewaySession::FindRoute() {
  m_request.policy = m_context.state.policy();
  if (!m_request.policy) {
    GatewayOutcome outcome;
    outcome.status = 503;
    outcome.cause = "no configuration yet";
    outcome.retry_after = kNotReadyRetryAfter;
    m_request.keep_alive = false;
    co_await WriteResponse(outcome);
    co_return false;
  }
  const auto& head = m_request.parser->get();
  m_request.route = m_request.policy->FindRoute(
      StripPort(ToStringView(head[http::field::host])),
      ToStringView(head.target()));
  if (m_request.route == nullptr) {
    GatewayOutcome outcome;
    outcome.status = 404;
    outcome.cause = "no route";
    m_context.metrics.RecordRequest("none", outcome.cause, 0);
    co_await WriteResponse(outcome);
    co_return false;
  }
  m_request.deadline =
      m_request.received_at +
      std::min(m_request.route->timeout,
               m_request.info.time_left.value_or(m_request.route->timeout));
  m_request.ClearStepDeadline();
  co_return true;
}

Task<void> GatewaySession::Serve() {
  m_watching_caller = true;
  m_stream->StartRead();
  if (m_stream->input_error()) {
    m_request.OnCallerDisconnected();
  }
  GatewayRouter router(m_context, m_request);
  const GatewayOutcome outcome = co_await router.Serve();
  m_watching_caller = false;
  RecordOutcome(router, outcome);
  if (outcome.status == 0) {
    m_request.keep_alive = false;
    co_return;
  }
  co_await WriteResponse(outcome);
}

void GatewaySession::RecordOutcome(const GatewayRouter& router,
                                   const GatewayOutcome& outcome) {
  const double seconds =
      std::chrono::duration<double>(Now() - m_request.received_at).count();
  m_context.metrics.RecordRequest(m_request.route->name, outcome.cause,
                                  seconds);
  if (outcome.verdict != Verdict::kRan && m_context.on_failed_request) {
    m_context.on_failed_request(
        {m_request.info.request_id, m_request.route->name, router.target(),
         outcome.cause, outcome.status, router.attempts(),
         static_cast<int>(seconds * 1000), m_request.policy->version(),
         router.target_load(), m_request.info.key});
  }
}

Task<void> GatewaySession::Reject(int status, std::string_view cause) {
  m_request.keep_alive = false;
  m_context.metrics.RecordRequest("none", cause, 0);
  GatewayOutcome outcome;
  outcome.status = status;
  outcome.cause = cause;
  co_await WriteResponse(outcome);
}

Task<void> GatewaySession::WriteResponse(const GatewayOutcome& outcome) {
  if (m_context.draining) {
    m_request.keep_alive = false;
  }
  std::string generated_head;
  if (outcome.head.empty()) {
    AppendLocalResponse(outcome.status, outcome.retry_after,
                        m_request.keep_alive, generated_head);
  }
  const std::string& head =
      outcome.head.empty() ? generated_head : outcome.head;
  m_request.deadline = MonotonicTime::max();
  m_request.SetStepDeadline(Now() + kWriteTimeout);
  std::size_t written = 0;
  const error_code error = co_await m_stream->Write(
      {boost::asio::buffer(head), boost::asio::buffer(outcome.body), {}, {}},
      written);
  m_request.ClearStepDeadline();
  if (error) {
    m_request.keep_alive = false;
  }
}

}  // namespace snipehall
