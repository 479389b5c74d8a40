#include "transport/gateway/gateway_session.h"

#include <algorithm>

#include "protocol/end_to_end_headers.h"
#include "protocol/http_rules.h"

namespace snipehall {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Time allowed for a caller to take an answer.
constexpr Milliseconds kWriteLimit{5000};
// Time allowed between two pieces of a body.
constexpr Milliseconds kBodyPause{5000};
constexpr Milliseconds kNotReadyRetryAfter{300};
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

// The host of a Host header without a port.
std::string_view HostOf(std::string_view value) {
  return value.substr(0, value.find(':'));
}

// Whether the parser, and not the connection, has failed.
bool IsMalformed(const error_code& error) {
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
    m_request.OnCallerGone();
  }
}

RequestLimits GatewaySession::limits() const {
  return m_context.state.policy() ? m_context.state.policy()->limits()
                                  : RequestLimits();
}

Task<void> GatewaySession::Run() {
  const auto self = shared_from_this();
  m_stream->set_on_input([this] {
    if (m_watches && m_stream->input_error()) {
      m_request.OnCallerGone();
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
      open = m_request.keep_alive && !m_request.caller_gone();
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
  m_request.LimitStep(Now() + bounds.idle_time);
  for (;;) {
    const std::string_view input = m_stream->data();
    if (!input.empty() && !m_busy) {
      m_busy = true;
      m_request.received = Now();
      m_request.LimitStep(m_request.received + bounds.head_time);
    }
    const std::size_t size = FindHeadEnd(input.substr(0, bounds.head_bytes));
    if (size > 0) {
      m_request.EndStep();
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
    if (input.size() >= bounds.head_bytes) {
      co_await Reject(431, "head too large");
      co_return false;
    }
    if (!m_request.broken_off()) {
      const error_code error = co_await m_stream->Fill();
      if (!error || (error == boost::asio::error::operation_aborted &&
                     !m_request.broken_off())) {
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
  const std::uint64_t limit = limits().body_bytes;
  if (parser.content_length().value_or(0) > limit) {
    co_await Reject(413, "body too large");
    co_return false;
  }
  if (!parser.is_done() && parser.get().count(http::field::expect) > 0) {
    std::size_t ignored = 0;
    co_await m_stream->Write({boost::asio::buffer(kContinue), {}, {}, {}},
                             ignored);
  }
  if (const auto length = parser.content_length()) {
    m_request.body.reserve(static_cast<std::size_t>(*length));
  }
  while (!parser.is_done()) {
    m_request.LimitStep(Now() + kBodyPause);
    BodyPiece piece;
    const error_code error = co_await ReadPiece(*m_stream, parser, piece);
    if (error) {
      if (m_request.step_expired()) {
        co_await Reject(408, "body took too long");
      } else if (IsMalformed(error)) {
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
  m_request.EndStep();
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
    co_await Write(outcome);
    co_return false;
  }
  const auto& head = m_request.parser->get();
  m_request.route = m_request.policy->FindRoute(
      HostOf(ViewOf(head[http::field::host])), ViewOf(head.target()));
  if (m_request.route == nullptr) {
    GatewayOutcome outcome;
    outcome.status = 404;
    outcome.cause = "no route";
    m_context.metrics.NoteRequest("none", outcome.cause, 0);
    co_await Write(outcome);
    co_return false;
  }
  m_request.deadline =
      m_request.received +
      std::min(m_request.route->timeout,
               m_request.info.time_left.value_or(m_request.route->timeout));
  m_request.EndStep();
  co_return true;
}

Task<void> GatewaySession::Serve() {
  m_watches = true;
  m_stream->StartRead();
  if (m_stream->input_error()) {
    m_request.OnCallerGone();
  }
  GatewayRouter router(m_context, m_request);
  const GatewayOutcome outcome = co_await router.Serve();
  m_watches = false;
  NoteOutcome(router, outcome);
  if (outcome.status == 0) {
    m_request.keep_alive = false;
    co_return;
  }
  co_await Write(outcome);
}

void GatewaySession::NoteOutcome(const GatewayRouter& router,
                                 const GatewayOutcome& outcome) {
  const double seconds =
      std::chrono::duration<double>(Now() - m_request.received).count();
  m_context.metrics.NoteRequest(m_request.route->name, outcome.cause, seconds);
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
  m_context.metrics.NoteRequest("none", cause, 0);
  GatewayOutcome outcome;
  outcome.status = status;
  outcome.cause = cause;
  co_await Write(outcome);
}

Task<void> GatewaySession::Write(const GatewayOutcome& outcome) {
  if (m_context.draining) {
    m_request.keep_alive = false;
  }
  std::string own;
  if (outcome.head.empty()) {
    AppendOwnAnswer(outcome.status, outcome.retry_after, m_request.keep_alive,
                    own);
  }
  const std::string& head = outcome.head.empty() ? own : outcome.head;
  m_request.deadline = MonotonicTime::max();
  m_request.LimitStep(Now() + kWriteLimit);
  std::size_t written = 0;
  const error_code error = co_await m_stream->Write(
      {boost::asio::buffer(head), boost::asio::buffer(outcome.body), {}, {}},
      written);
  m_request.EndStep();
  if (error) {
    m_request.keep_alive = false;
  }
}

}  // namespace snipehall
