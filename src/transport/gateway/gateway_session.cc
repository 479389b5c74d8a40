#include "transport/gateway/gateway_session.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>
#include <iterator>

#include "protocol/end_to_end_headers.h"
#include "protocol/http_head_checks.h"
#include "protocol/request_digest.h"

namespace snipehall {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Time limit for a caller to receive a response.
constexpr Milliseconds kWriteTimeout{5000};
// Time limit for each read of a request's body.
constexpr Milliseconds kBodyReadTimeout{5000};
// Time limit for the body of a request without a route, from its first byte.
constexpr Milliseconds kUnroutedBodyTimeout{5000};
// Retry-After of a request for which there is no memory.
constexpr Milliseconds kMemoryRetryAfter{300};
// A head is held by its parser as well, with this much for each field.
constexpr std::size_t kHeadCopies = 2;
constexpr std::size_t kFieldBytes = 96;
// Number of reads whose times are kept exactly, and the precision from there
// on, which bounds the memory for input that arrives byte by byte.
constexpr std::size_t kExactArrivals = 64;
constexpr Milliseconds kArrivalPrecision{50};
// Time that a caller has to close the connection after its last response.
constexpr Milliseconds kCloseTimeout{1000};
// Minimum time for which a connection has been idle, or open without a request,
// when it is closed at shutdown.
constexpr Milliseconds kShutdownIdleTime{200};
// An instance that forwards a request adds headers of up to this size.
constexpr std::size_t kMaxInstanceFieldBytes = 256;
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

std::size_t CountFields(const http::fields& fields) {
  return static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
}

// Memory of a head that has been parsed from `size` bytes.
std::size_t HeadMemory(std::size_t size, const http::fields& fields) {
  return size * kHeadCopies + CountFields(fields) * kFieldBytes;
}

// Start of the last complete line of `input`, the incomplete head of a message.
std::size_t FindLastLine(std::string_view input) {
  const std::size_t end = input.rfind('\n');
  if (end == std::string_view::npos || end == 0) {
    return 0;
  }
  const std::size_t before = input.rfind('\n', end - 1);
  return before == std::string_view::npos ? 0 : before + 1;
}

// Whether the error comes from the HTTP parser and not from the connection.
bool IsParserError(const error_code& error) {
  return error.category() ==
         http::make_error_code(http::error::bad_chunk).category();
}

}  // namespace

GatewaySession::GatewaySession(GatewayContext& context, Socket socket)
    : GatewaySession(context, std::make_shared<ByteStream>(std::move(socket))) {
  m_from_instance = false;
}

GatewaySession::GatewaySession(GatewayContext& context,
                               std::shared_ptr<ByteStream> stream)
    : m_context(context),
      m_stream(std::move(stream)),
      m_from_instance(true),
      m_event(context.executor),
      m_read_timer(
          std::make_shared<DeadlineTimer>(context.executor,
                                          [this] {
                                            m_read_expired = true;
                                            if (m_cancel_expired_read) {
                                              m_stream->Cancel();
                                            }
                                            m_event.Notify();
                                          })),
      m_write_timer(std::make_shared<DeadlineTimer>(context.executor, [this] {
        m_stream->Cancel();
      })) {
  m_context.sessions.insert(this);
}

GatewaySession::~GatewaySession() {
  m_read_timer->Close();
  m_write_timer->Close();
  m_stream->Close();
  m_context.sessions.erase(this);
}

std::optional<MonotonicTime> GatewaySession::waiting_since() const {
  // Another instance could not tell whether the request that it is sending has
  // run.
  if (m_from_instance || m_ended || m_close_announced || !m_pipeline.empty()) {
    return std::nullopt;
  }
  return m_receiving ? m_receiving_since : m_idle_since;
}

bool GatewaySession::HasUnreadRequest() {
  return !m_receiving && m_stream->HasUnreadInput();
}

void GatewaySession::Evict() {
  m_context.metrics.IncrementEvent("caller_evicted");
  End();
  m_stream->Cancel();
}

void GatewaySession::CloseIfIdle() {
  if (!busy() && !m_stream->HasUnreadInput() &&
      Now() - m_idle_since >= kShutdownIdleTime) {
    End();
  }
}

void GatewaySession::ExpireRequests() {
  const auto pipeline = m_pipeline;
  for (const std::shared_ptr<Exchange>& exchange : pipeline) {
    if (!exchange->complete) {
      exchange->request.Expire();
    }
  }
}

RequestLimits GatewaySession::limits() const {
  return m_context.state.policy() ? m_context.state.policy()->limits()
                                  : RequestLimits();
}

std::size_t GatewaySession::max_head_bytes() const {
  return std::min(
      limits().max_head_bytes + (m_from_instance ? kMaxInstanceFieldBytes : 0),
      ByteStream::kMaxCapacityBytes);
}

Task<void> GatewaySession::Run() {
  const auto self = shared_from_this();
  m_stream->set_on_input([this] {
    if (m_stream->input_error()) {
      End();
    }
    RecordArrival();
    m_event.Notify();
  });
  m_idle_since = Now();
  bool open = true;
  while (open) {
    open = co_await ReadRequest();
  }
  m_receiving = false;
  m_read_timer->Disarm();
  while (!m_pipeline.empty()) {
    co_await WaitForEvent();
  }
  if (m_close_announced) {
    co_await CloseGracefully();
  }
  m_stream->Close();
}

void GatewaySession::End() {
  m_ended = true;
  const auto pipeline = m_pipeline;
  for (const std::shared_ptr<Exchange>& exchange : pipeline) {
    exchange->request.OnCallerDisconnected();
  }
  m_event.Notify();
}

void GatewaySession::RecordArrival() {
  const std::uint64_t first_unread =
      m_stream->received_bytes() - m_stream->data().size();
  while (!m_arrivals.empty() && m_arrivals.front().first <= first_unread) {
    m_arrivals.pop_front();
  }
  const MonotonicTime now = Now();
  if (m_arrivals.size() >= kExactArrivals &&
      now - m_arrivals.back().second < kArrivalPrecision) {
    m_arrivals.back().first = m_stream->received_bytes();
  } else {
    m_arrivals.emplace_back(m_stream->received_bytes(), now);
  }
}

MonotonicTime GatewaySession::UnreadSince() {
  const std::uint64_t first_unread =
      m_stream->received_bytes() - m_stream->data().size();
  while (m_arrivals.size() > 1 && m_arrivals.front().first <= first_unread) {
    m_arrivals.pop_front();
  }
  return m_arrivals.empty() ? Now() : m_arrivals.front().second;
}

Task<void> GatewaySession::WaitForEvent() {
  // Bytes behind a whole head are left to the kernel, so that the read buffer
  // stays small while requests are in progress.
  if (m_stream->data().size() < max_head_bytes()) {
    m_stream->StartRead();
  }
  if (!m_ended && m_stream->input_error()) {
    End();
    co_return;
  }
  co_await m_event.Wait();
}

Task<bool> GatewaySession::WaitForRoom() {
  while (!ending() && !m_pipeline.empty() &&
         (m_context.draining ||
          m_pipeline.size() >= std::size_t{kMaxPipelinedRequests})) {
    co_await WaitForEvent();
  }
  co_return !ending();
}

Task<bool> GatewaySession::WaitForTurn() {
  while (!ending() && !m_pipeline.empty()) {
    co_await WaitForEvent();
  }
  co_return !ending();
}

Task<bool> GatewaySession::ReadRequest() {
  const bool has_room = co_await WaitForRoom();
  if (!has_room) {
    co_return false;
  }
  const auto exchange =
      std::make_shared<Exchange>(m_context.executor, m_stream);
  GatewayRequest& request = exchange->request;
  bool complete = co_await ReadHead(*exchange);
  if (!complete && !exchange->complete) {
    co_return false;
  }
  bool served = complete && FindRoute(*exchange);
  const bool may_overlap =
      complete && request.parser->is_done() &&
      (request.route == nullptr || request.route->idempotent);
  if (complete && !may_overlap) {
    const bool has_turn = co_await WaitForTurn();
    if (!has_turn) {
      co_return false;
    }
    complete = co_await ReadBody(*exchange);
    served = served && complete;
    if (!complete && !exchange->complete) {
      co_return false;
    }
  }
  m_receiving = false;
  m_read_timer->Disarm();
  if (ending()) {
    co_return false;
  }
  const bool keep_alive = request.keep_alive;
  m_pipeline.push_back(exchange);
  if (served) {
    boost::asio::co_spawn(
        m_context.executor,
        [self = shared_from_this(), exchange] { return self->Serve(exchange); },
        boost::asio::detached);
  } else {
    exchange->complete = true;
    m_context.metrics.RecordRequest("none", exchange->outcome.cause, 0);
    co_await WriteResponses();
  }
  if (keep_alive && !may_overlap) {
    const bool answered = co_await WaitForTurn();
    co_return answered;
  }
  co_return keep_alive && !ending();
}

Task<bool> GatewaySession::ReadHead(Exchange& exchange) {
  if (m_stream->data().empty()) {
    m_stream->ShrinkIfIdle();
  }
  const RequestLimits bounds = limits();
  const std::size_t max_size = max_head_bytes();
  // Lines that have been checked are not checked again for each read.
  std::size_t checked = 0;
  m_read_expired = false;
  while (!ending()) {
    const std::string_view input = m_stream->data();
    if (!input.empty() && !m_receiving) {
      m_receiving = true;
      exchange.request.received_at = UnreadSince();
      m_receiving_since = exchange.request.received_at;
    }
    const std::size_t size =
        FindHeadEnd(input.substr(0, max_size).substr(checked));
    if (size > 0) {
      if (!ParseHead(exchange.request, checked + size)) {
        co_return Reject(exchange, 400, "malformed head");
      }
      // Only the first request of a connection has memory in any case.
      exchange.request.memory = BufferBudget::Reservation(
          m_context.request_buffers,
          m_pipeline.empty() ? BufferBudget::kGuaranteedBytes : 0);
      co_return exchange.request.memory.TryGrow(
          HeadMemory(checked + size, exchange.request.parser->get())) ||
          RejectForMemory(exchange);
    }
    if (!CheckHeadBytes(input.substr(checked))) {
      co_return Reject(exchange, 400, "malformed head");
    }
    checked += FindLastLine(input.substr(checked));
    if (input.size() >= max_size) {
      co_return Reject(exchange, 431, "head too large");
    }
    if (m_read_expired) {
      if (m_receiving) {
        co_return Reject(exchange, 408, "head took too long");
      }
      if (m_pipeline.empty()) {
        co_return false;
      }
    }
    m_read_expired = false;
    if (m_receiving) {
      m_read_timer->Arm(exchange.request.received_at + bounds.head_timeout);
    } else if (m_pipeline.empty()) {
      m_read_timer->Arm(m_idle_since + bounds.idle_timeout);
    } else {
      m_read_timer->Disarm();
    }
    co_await WaitForEvent();
  }
  co_return false;
}

bool GatewaySession::ParseHead(GatewayRequest& request, std::size_t size) {
  const std::string_view head = m_stream->data().substr(0, size);
  if (!CheckHeadBytes(head)) {
    return false;
  }
  request.parser.emplace();
  GatewayRequest::Parser& parser = *request.parser;
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
  request.info = info.value();
  if (!m_from_instance) {
    request.info.attempts_left.reset();
  }
  request.keep_alive = parser.get().keep_alive();
  return true;
}

Task<bool> GatewaySession::ReadBody(Exchange& exchange) {
  GatewayRequest& request = exchange.request;
  GatewayRequest::Parser& parser = *request.parser;
  const std::uint64_t limit = limits().max_body_bytes;
  if (parser.content_length().value_or(0) > limit) {
    co_return Reject(exchange, 413, "body too large");
  }
  if (!parser.is_done() && parser.get().count(http::field::expect) > 0) {
    m_write_timer->Arm(Now() + kWriteTimeout);
    std::size_t ignored = 0;
    const error_code write_error = co_await m_stream->Write(
        {boost::asio::buffer(kContinueResponse), {}, {}, {}}, ignored);
    m_write_timer->Disarm();
    if (write_error) {
      co_return false;
    }
  }
  const MonotonicTime due_at = request.route == nullptr
                                   ? request.received_at + kUnroutedBodyTimeout
                                   : request.deadline;
  const std::size_t head_fields = CountFields(parser.get());
  m_cancel_expired_read = true;
  error_code error;
  bool has_memory = true;
  while (!error && !parser.is_done() && request.body.size() <= limit &&
         has_memory && !m_ended) {
    m_read_expired = false;
    m_read_timer->Arm(std::min(due_at, Now() + kBodyReadTimeout));
    BodyFragment piece;
    error = co_await ReadBodyFragment(*m_stream, parser, piece);
    if (!error) {
      has_memory = AppendToBody(request, piece.bytes);
      m_stream->Consume(piece.consumed);
    }
  }
  m_cancel_expired_read = false;
  if (m_ended) {
    co_return false;
  }
  // The parser adds the fields of a trailer to those of the head.
  has_memory = has_memory &&
               request.memory.TryGrow(
                   (CountFields(parser.get()) - head_fields) * kFieldBytes);
  if (!has_memory) {
    co_return RejectForMemory(exchange);
  }
  if (request.body.size() > limit) {
    co_return Reject(exchange, 413, "body too large");
  }
  if (error && m_read_expired) {
    co_return Reject(exchange, 408, "body took too long");
  }
  if (error && IsParserError(error)) {
    co_return Reject(exchange, 400, "malformed body");
  }
  co_return !error;
}

bool GatewaySession::AppendToBody(GatewayRequest& request,
                                  std::string_view piece) {
  if (!request.memory.TryGrow(piece.size())) {
    return false;
  }
  const std::uint64_t length = request.parser->content_length().value_or(0);
  if (request.body.empty() && length > 0) {
    // Memory that no byte has been written to is not in use yet.
    request.body.reserve(static_cast<std::size_t>(length));
  }
  request.body.append(piece);
  return true;
}

bool GatewaySession::FindRoute(Exchange& exchange) {
  GatewayRequest& request = exchange.request;
  GatewayOutcome& outcome = exchange.outcome;
  request.policy = m_context.state.policy();
  if (!request.policy) {
    outcome.status = 503;
    outcome.cause = "no configuration yet";
    outcome.retry_after = kNotReadyRetryAfter;
    request.keep_alive = false;
    return false;
  }
  const auto& head = request.parser->get();
  request.route = request.policy->FindRoute(
      StripPort(ToStringView(head[http::field::host])),
      ToStringView(head.target()));
  if (request.route == nullptr) {
    outcome.status = 404;
    outcome.cause = "no route";
    return false;
  }
  request.deadline =
      request.received_at +
      std::min(request.route->timeout,
               request.info.time_left.value_or(request.route->timeout));
  return true;
}

bool GatewaySession::Reject(Exchange& exchange,
                            int status,
                            std::string_view cause) {
  exchange.request.keep_alive = false;
  exchange.outcome = {};
  exchange.outcome.status = status;
  exchange.outcome.cause = cause;
  exchange.complete = true;
  return false;
}

bool GatewaySession::RejectForMemory(Exchange& exchange) {
  m_context.metrics.IncrementEvent("request_memory_refused");
  exchange.request.memory.Clear();
  std::string().swap(exchange.request.body);
  Reject(exchange, 503, "no memory for the request");
  exchange.outcome.retry_after = kMemoryRetryAfter;
  return false;
}

Task<void> GatewaySession::Serve(std::shared_ptr<Exchange> exchange) {
  GatewayRequest& request = exchange->request;
  request.ClearStepDeadline();
  GatewayRouter router(m_context, request);
  try {
    exchange->outcome = co_await router.Serve();
  } catch (const std::exception& error) {
    // The request alone fails; whether a target has run it is not known.
    if (m_context.on_exception) {
      m_context.on_exception(request.info.request_id, error.what());
    }
    request.target_stream = nullptr;
    exchange->outcome = {};
    exchange->outcome.status = 502;
    exchange->outcome.verdict = Verdict::kMayHaveRun;
    exchange->outcome.cause = "internal error";
  }
  RecordOutcome(router, *exchange);
  exchange->complete = true;
  co_await WriteResponses();
}

void GatewaySession::RecordOutcome(const GatewayRouter& router,
                                   const Exchange& exchange) {
  const GatewayRequest& request = exchange.request;
  const GatewayOutcome& outcome = exchange.outcome;
  const double seconds =
      std::chrono::duration<double>(Now() - request.received_at).count();
  m_context.metrics.RecordRequest(request.route->name, outcome.cause, seconds);
  if (outcome.verdict != Verdict::kRan && m_context.on_failed_request) {
    m_context.on_failed_request(
        {request.info.request_id, request.route->name, router.target(),
         outcome.cause, outcome.status, router.attempts(),
         static_cast<int>(seconds * 1000), router.sent_after(),
         request.policy->version(), router.target_load(), request.info.key,
         DigestRequest(request.parser->get(), m_context.names, request.body)});
  }
}

Task<void> GatewaySession::WriteResponses() {
  if (m_writing) {
    co_return;
  }
  m_writing = true;
  while (!m_pipeline.empty() && m_pipeline.front()->complete) {
    const std::shared_ptr<Exchange> exchange = m_pipeline.front();
    bool sent = false;
    if (!m_ended && exchange->outcome.status != 0) {
      sent = co_await WriteResponse(*exchange);
    }
    m_pipeline.pop_front();
    if (!sent || !exchange->request.keep_alive) {
      End();
    }
  }
  m_writing = false;
  m_idle_since = Now();
  m_event.Notify();
}

Task<bool> GatewaySession::WriteResponse(Exchange& exchange) {
  const GatewayOutcome& outcome = exchange.outcome;
  // While the instance is shutting down, the last request in progress closes
  // the connection; those behind it have not been started.
  if (m_context.draining && m_pipeline.size() == 1) {
    exchange.request.keep_alive = false;
  }
  const bool keep_alive = exchange.request.keep_alive;
  std::string head;
  if (outcome.head.empty()) {
    AppendLocalResponse(outcome.status, outcome.retry_after, keep_alive,
                        FieldsForInstance(exchange), head);
  } else {
    head = outcome.head + FieldsForInstance(exchange);
    AppendHeadEnd(keep_alive, head);
  }
  m_close_announced = !keep_alive;
  m_write_timer->Arm(Now() + kWriteTimeout);
  std::size_t written = 0;
  const error_code error = co_await m_stream->Write(
      {boost::asio::buffer(head), boost::asio::buffer(outcome.body), {}, {}},
      written);
  m_write_timer->Disarm();
  co_return !error;
}

std::string GatewaySession::FieldsForInstance(const Exchange& exchange) const {
  std::string fields;
  if (!m_from_instance) {
    return fields;
  }
  const GatewayOutcome& outcome = exchange.outcome;
  if (!outcome.head.empty()) {
    AppendField(m_context.names.expected_target, outcome.target, fields);
    return fields;
  }
  const std::string_view request_id = exchange.request.info.request_id;
  if (!request_id.empty()) {
    AppendField(m_context.names.request_id, request_id, fields);
  }
  if (outcome.verdict == Verdict::kNotRun) {
    AppendField(m_context.names.not_run, std::string_view("1"), fields);
  }
  return fields;
}

Task<void> GatewaySession::CloseGracefully() {
  m_stream->ShutdownSend();
  m_read_expired = false;
  m_cancel_expired_read = true;
  m_read_timer->Arm(Now() + kCloseTimeout);
  error_code error;
  while (!error && !m_read_expired) {
    m_stream->Consume(m_stream->data().size());
    error = co_await m_stream->Fill();
  }
  m_read_timer->Disarm();
}

}  // namespace snipehall
