#include "transport/caller_session.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <iterator>

#include "protocol/http_rules.h"
#include "transport/caller_limits.h"

namespace snipehall {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// Writes the head and body of an answer of the instance's own.
void AppendReply(const LocalReply& reply, bool keep_alive, std::string& out) {
  const std::string_view text = ToString(reply.reason);
  out.append("HTTP/1.1 ").append(std::to_string(reply.status)).append(" ");
  out.append(View(http::obsolete_reason(
      http::int_to_status(static_cast<unsigned>(reply.status)))));
  out.append("\r\nSnipehall-Verdict: ").append(ToString(reply.verdict));
  if (reply.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(reply.retry_after).count();
    out.append("\r\nRetry-After: ").append(std::to_string(seconds));
  }
  if (!keep_alive) {
    out.append("\r\nConnection: close");
  }
  out.append("\r\nContent-Type: text/plain\r\nContent-Length: ")
      .append(std::to_string(text.size() + 1))
      .append("\r\n\r\n");
}

}  // namespace

CallerSession::CallerSession(DataContext& context, Socket socket)
    : m_context(context),
      m_stream(std::make_shared<ByteStream>(std::move(socket))),
      m_timer(std::make_shared<DeadlineTimer>(context.executor,
                                              [this] { OnExpiry(); })),
      m_request(context.executor, *m_stream, *m_timer) {
  m_request.body_idle = context.limits.body_idle;
  m_context.sessions.insert(this);
  m_context.metrics.caller_connections().Increment();
}

CallerSession::~CallerSession() {
  m_timer->Close();
  m_stream->Close();
  m_context.sessions.erase(this);
  m_context.metrics.caller_connections().Decrement();
}

void CallerSession::OnExpiry() {
  m_request.Break(Interrupt::kDeadline);
}

void CallerSession::OnCallerInput() {
  if (m_request.watches_caller && m_stream->input_error()) {
    m_request.Break(Interrupt::kCallerGone);
  }
}

void CallerSession::OnDrain() {
  if (!m_has_request) {
    m_timer->Arm(Now() + m_context.limits.drain_grace);
  }
}

void CallerSession::Stop() {
  m_request.Break(Interrupt::kStopped);
}

Task<void> CallerSession::Run() {
  const auto self = shared_from_this();
  m_stream->set_on_input([this] { OnCallerInput(); });
  ReadEnd end = ReadEnd::kRequest;
  while (end == ReadEnd::kRequest && !m_context.stopped) {
    m_request.Reset();
    end = co_await ReadRequest();
    if (end == ReadEnd::kRequest) {
      co_await Serve();
      m_request.watches_caller = false;
      m_has_request = false;
      if (!m_request.keep_alive) {
        break;
      }
    }
  }
  if (m_lingers && !m_context.stopped) {
    co_await Linger();
  }
  m_has_request = false;
  m_timer->Close();
  m_stream->Close();
}

Task<CallerSession::ReadEnd> CallerSession::ReadRequest() {
  ReadEnd end = co_await ReadHead();
  if (end == ReadEnd::kRequest && m_request.framing == BodyFraming::kLength &&
      !m_request.body_streamed) {
    end = co_await ReadShortBody();
  }
  co_return end;
}

Task<CallerSession::ReadEnd> CallerSession::ReadHead() {
  if (m_stream->data().empty()) {
    m_stream->ShrinkIfIdle();
  }
  m_timer->Arm(Now() + (m_context.draining ? m_context.limits.drain_grace
                                           : m_context.limits.keep_alive));
  for (;;) {
    const std::string_view input = m_stream->data();
    if (!input.empty() && !m_has_request) {
      m_has_request = true;
      m_request.received = Now();
      m_timer->Arm(m_request.received + m_context.limits.head_time);
    }
    const std::size_t size = FindHeadEnd(input.substr(0, CallerLimits::kHead));
    if (size > 0) {
      const ReadEnd end = co_await ParseHead(size);
      co_return end;
    }
    if (!CheckHeadBytes(input)) {
      const ReadEnd end = co_await Reject(400, RefusalReason::kMalformed);
      co_return end;
    }
    if (input.size() >= CallerLimits::kHead) {
      const ReadEnd end = co_await Reject(431, RefusalReason::kTooLarge);
      co_return end;
    }
    error_code error(boost::asio::error::operation_aborted);
    if (!m_request.interrupted()) {
      error = co_await m_stream->Fill();
    }
    if (!error || IsLeftover(error)) {
      continue;
    }
    if (!m_has_request || m_request.interrupt == Interrupt::kStopped) {
      co_return ReadEnd::kClosed;
    }
    const bool slow = m_request.interrupt == Interrupt::kDeadline;
    const ReadEnd end = slow ? co_await Reject(408, RefusalReason::kSlowCaller)
                             : co_await Reject(400, RefusalReason::kMalformed);
    co_return end;
  }
}

Task<CallerSession::ReadEnd> CallerSession::ParseHead(std::size_t size) {
  const std::string_view head = m_stream->data().substr(0, size);
  m_request.parser.emplace();
  RequestParser& parser = *m_request.parser;
  parser.header_limit(CallerLimits::kHead);
  parser.body_limit(CallerLimits::kBody);
  bool valid = CheckHeadBytes(head).has_value();
  if (valid) {
    error_code error;
    parser.put(boost::asio::buffer(head.data(), head.size()), error);
    if (error == http::error::body_limit) {
      const ReadEnd end = co_await Reject(413, RefusalReason::kTooLarge);
      co_return end;
    }
    valid = !error && parser.is_header_done() &&
            CheckRequestHead(parser.get()).has_value();
  }
  if (valid && std::distance(parser.get().begin(), parser.get().end()) >
                   static_cast<std::ptrdiff_t>(CallerLimits::kHeaders)) {
    const ReadEnd end = co_await Reject(431, RefusalReason::kTooLarge);
    co_return end;
  }
  if (valid) {
    auto context = ParseRequestContext(parser.get(), parser.get().method(),
                                       View(parser.get().target()));
    valid = context.has_value();
    if (valid) {
      m_request.context = context.value();
    }
  }
  if (!valid) {
    const ReadEnd end = co_await Reject(400, RefusalReason::kMalformed);
    co_return end;
  }
  m_stream->Consume(size);
  m_request.keep_alive = parser.keep_alive();
  m_request.expects_continue = parser.get().count(http::field::expect) > 0;
  if (parser.chunked()) {
    m_request.framing = BodyFraming::kChunked;
    m_request.body_streamed = true;
  } else if (parser.content_length()) {
    m_request.framing = BodyFraming::kLength;
    m_request.body_length = *parser.content_length();
    m_request.body_streamed =
        m_request.body_length > CallerLimits::kBufferedBody;
  }
  const bool prepared = co_await Prepare();
  co_return prepared ? ReadEnd::kRequest : ReadEnd::kReplied;
}

Task<CallerSession::ReadEnd> CallerSession::ReadShortBody() {
  if (m_request.expects_continue && m_stream->data().empty() &&
      m_request.body_length > 0) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    std::size_t written = 0;
    co_await m_stream->Write(
        {boost::asio::buffer(kContinue.data(), kContinue.size()), {}, {}, {}},
        written);
  }
  while (m_stream->data().size() < m_request.body_length) {
    m_timer->Arm(
        std::min(m_request.deadline, Now() + m_context.limits.body_idle));
    error_code error(boost::asio::error::operation_aborted);
    if (!m_request.interrupted()) {
      error = co_await m_stream->Fill();
    }
    if (!error || IsLeftover(error)) {
      continue;
    }
    if (m_request.interrupt == Interrupt::kStopped) {
      co_return ReadEnd::kClosed;
    }
    const bool slow = m_request.interrupt == Interrupt::kDeadline;
    const bool late = Now() >= m_request.deadline;
    ReadEnd end = ReadEnd::kReplied;
    if (slow && late) {
      end = co_await Reject(504, RefusalReason::kDeadline);
    } else if (slow) {
      end = co_await Reject(408, RefusalReason::kSlowCaller);
    } else {
      end = co_await Reject(400, RefusalReason::kMalformed);
    }
    co_return end;
  }
  m_timer->Arm(m_request.deadline);
  co_return ReadEnd::kRequest;
}

Task<bool> CallerSession::Prepare() {
  const auto& table = m_context.states.Refresh(m_request.received);
  m_service = m_context.states.Find(m_request.context.service);
  LocalReply reply;
  reply.reason = RefusalReason::kNotReady;
  reply.retry_after = Milliseconds(1000);
  if (m_service) {
    const ServiceConfig& config = m_service->config();
    RequestContext& context = m_request.context;
    if (context.request_class.empty()) {
      context.request_class = config.default_class.empty()
                                  ? std::string_view(config.classes[0].name)
                                  : std::string_view(config.default_class);
    }
    const auto found =
        std::find_if(config.classes.begin(), config.classes.end(),
                     [&context](const ClassConfig& item) {
                       return item.name == context.request_class;
                     });
    if (found != config.classes.end() &&
        (!config.keyed || !context.key.empty())) {
      m_class_index = static_cast<std::size_t>(found - config.classes.begin());
      // The configuration outlives the request's head.
      context.request_class = found->name;
      Milliseconds allowed =
          context.time_allowed.value_or(found->default_deadline);
      if (config.keyed && !config.checks_orders) {
        allowed = std::min(allowed, config.longest_deadline());
      }
      m_request.deadline = m_request.received + allowed;
      m_timer->Arm(m_request.deadline);
      GenerateId();
      co_return true;
    }
    reply = {400, Verdict::kNotRun, RefusalReason::kMalformed};
  } else if (table->ready) {
    reply = {404, Verdict::kNotRun, RefusalReason::kUnknownService};
  }
  co_await Reject(reply.status, reply.reason);
  co_return false;
}

void CallerSession::GenerateId() {
  if (!m_request.context.request_id.empty()) {
    return;
  }
  auto& storage = m_request.id_storage;
  char* end = storage.data() + storage.size();
  char* next = std::to_chars(storage.data(), end, m_context.id_prefix, 36).ptr;
  *next++ = '-';
  next = std::to_chars(next, end, ++m_context.next_id, 36).ptr;
  m_request.context.request_id = {
      storage.data(), static_cast<std::size_t>(next - storage.data())};
}

Task<void> CallerSession::Serve() {
  RequestRouter router(m_context, m_request, m_service, m_class_index);
  m_request.keep_alive = m_request.keep_alive && !m_context.draining;
  ServeOutcome outcome = co_await router.Serve();
  m_request.watches_caller = false;
  NoteRequest(outcome.verdict);
  if (outcome.close || m_context.stopped) {
    m_request.keep_alive = false;
    co_return;
  }
  const bool body_left =
      m_request.body_streamed && !m_request.parser->is_done();
  if (m_request.framing == BodyFraming::kLength && !m_request.body_streamed) {
    m_stream->Consume(m_request.body_length);
  }
  if (body_left) {
    m_request.keep_alive = false;
    m_lingers = true;
  }
  m_request.interrupt = Interrupt::kNone;
  if (outcome.reply) {
    m_context.metrics.Refusals(outcome.reply->reason).Increment();
    co_await Reply(*outcome.reply);
  }
  if (m_context.draining) {
    m_request.keep_alive = false;
    m_lingers = true;
  }
}

void CallerSession::NoteRequest(Verdict verdict) {
  m_context.metrics.Requests(verdict).Increment();
  const double seconds =
      std::chrono::duration<double>(Now() - m_request.received).count();
  m_context.metrics
      .Latency(m_service->config().name, m_request.context.tenant,
               m_request.context.request_class)
      .Observe(seconds);
}

Task<void> CallerSession::Reply(LocalReply reply) {
  std::string& head = m_request.head;
  head.clear();
  AppendReply(reply, m_request.keep_alive, head);
  const bool has_body = !m_request.parser ||
                        !m_request.parser->is_header_done() ||
                        m_request.parser->get().method() != http::verb::head;
  if (has_body) {
    head.append(ToString(reply.reason)).append("\n");
  }
  // A caller that does not read its answer must not hold the connection.
  m_timer->Arm(Now() + m_context.limits.body_idle);
  std::size_t written = 0;
  const error_code error = co_await m_stream->Write(
      {boost::asio::buffer(head), {}, {}, {}}, written);
  if (error) {
    m_request.keep_alive = false;
    m_lingers = false;
  }
}

Task<CallerSession::ReadEnd> CallerSession::Reject(int status,
                                                   RefusalReason reason) {
  m_request.keep_alive = false;
  m_request.interrupt = Interrupt::kNone;
  m_lingers = true;
  m_context.metrics.Requests(Verdict::kNotRun).Increment();
  m_context.metrics.Refusals(reason).Increment();
  LocalReply reply;
  reply.status = status;
  reply.reason = reason;
  if (status == 503) {
    reply.retry_after = Milliseconds(1000);
  }
  co_await Reply(reply);
  co_return ReadEnd::kReplied;
}

Task<void> CallerSession::Linger() {
  m_request.interrupt = Interrupt::kNone;
  m_stream->ShutdownSend();
  m_timer->Arm(Now() + m_context.limits.linger);
  std::size_t skipped = 0;
  while (skipped < CallerLimits::kLingerBytes && !m_request.interrupted()) {
    skipped += m_stream->data().size();
    m_stream->Consume(m_stream->data().size());
    const error_code error = co_await m_stream->Fill();
    if (error && !IsLeftover(error)) {
      break;
    }
  }
}

bool CallerSession::IsLeftover(const error_code& error) const {
  return error == boost::asio::error::operation_aborted &&
         !m_request.interrupted();
}

}  // namespace snipehall
