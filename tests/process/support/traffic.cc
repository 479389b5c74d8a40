#include "process/support/traffic.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <thread>
#include <utility>

#include "protocol/target_protocol.h"
#include "standins/common/echo.h"
#include "state/verdict.h"

namespace snipehall::test {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxFailures = 20;
constexpr std::size_t kMaxQuotedBytes = 200;
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{1} << 30;
// Delay before a failed connection attempt is repeated.
constexpr std::chrono::milliseconds kReconnectDelay{10};

std::string LowerCaseName(std::string_view name) {
  std::string lower(name);
  boost::algorithm::to_lower(lower);
  return lower;
}

}  // namespace

bool IsExpectedResponse(const TrafficRequest& request,
                        const HttpClientResponse& reply) {
  static const std::string kIdName = LowerCaseName(standin::kEchoIdHeader);
  static const std::string kTargetName =
      LowerCaseName(standin::kTargetIdHeader);
  if (reply.status != 200 || reply.Header(kIdName) != request.id) {
    return false;
  }
  const auto method = http::to_string(request.http_request.method);
  const std::string expected =
      request.reply_bytes > 0
          ? standin::LargeReply(request.id, request.reply_bytes)
          : standin::SmallReply(reply.Header(kTargetName), request.id,
                                {method.data(), method.size()},
                                request.http_request.path,
                                request.http_request.body);
  return reply.body == expected;
}

std::uint32_t TrafficReport::Percentile(double percentile) const {
  if (latencies_us.empty()) {
    return 0;
  }
  std::vector<std::uint32_t> sorted = latencies_us;
  const auto index = static_cast<std::size_t>(
      percentile / 100 * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

std::string TrafficReport::Summary() const {
  std::string text =
      "sent " + std::to_string(sent) + ", correct " + std::to_string(correct) +
      ", incorrect " + std::to_string(incorrect) + ", not run " +
      std::to_string(not_run) + ", may have run " +
      std::to_string(may_have_run) + ", lost " + std::to_string(lost) +
      ", seconds " +
      std::to_string(static_cast<double>(elapsed.count()) / 1e6) + ", p50 us " +
      std::to_string(Percentile(50)) + ", p99 us " +
      std::to_string(Percentile(99)) + ", max us " +
      std::to_string(Percentile(100));
  for (const std::string& description : failures) {
    text += "\n  " + description;
  }
  return text;
}

class Traffic::Impl {
 public:
  explicit Impl(TrafficOptions options)
      : m_options(std::move(options)), m_start(Clock::now()) {
    for (int i = 0; i < m_options.connections; ++i) {
      const std::string& address =
          m_options.addresses[i % m_options.addresses.size()];
      asio::co_spawn(m_context, Run(ParseAddress(address)),
                     [this](const std::exception_ptr& error) {
                       if (error != nullptr) {
                         m_error = error;
                       }
                     });
    }
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~Impl() {
    m_context.stop();
    Join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::uint64_t correct() const { return m_correct; }
  void Stop() { m_stopped = true; }

  TrafficReport Finish() {
    Join();
    if (m_error != nullptr) {
      std::rethrow_exception(m_error);
    }
    m_report.elapsed = ElapsedSince(m_start);
    return std::move(m_report);
  }

 private:
  using Stream = std::unique_ptr<beast::tcp_stream>;

  static std::chrono::microseconds ElapsedSince(Clock::time_point time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                                 time);
  }

  void Join() {
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  bool HasMore() const {
    return !m_stopped &&
           (m_options.requests == 0 || m_report.sent < m_options.requests);
  }

  asio::awaitable<void> Run(tcp::endpoint endpoint) {
    asio::steady_timer timer(m_context);
    Stream stream;
    beast::flat_buffer buffer;
    while (HasMore()) {
      if (stream == nullptr) {
        stream = co_await Connect(endpoint);
      }
      if (stream == nullptr) {
        timer.expires_after(kReconnectDelay);
        co_await timer.async_wait(asio::use_awaitable);
        continue;
      }
      if (!co_await Exchange(*stream, buffer)) {
        stream.reset();
        buffer.clear();
      }
      if (m_options.pause.count() > 0) {
        timer.expires_after(m_options.pause);
        co_await timer.async_wait(asio::use_awaitable);
      }
    }
  }

  asio::awaitable<Stream> Connect(tcp::endpoint endpoint) {
    auto stream = std::make_unique<beast::tcp_stream>(m_context);
    error_code failure;
    stream->expires_after(m_options.request_timeout);
    co_await stream->async_connect(
        endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return nullptr;
    }
    stream->socket().set_option(tcp::no_delay(true), failure);
    co_return stream;
  }

  // Returns whether the connection can be used again.
  asio::awaitable<bool> Exchange(beast::tcp_stream& stream,
                                 beast::flat_buffer& buffer) {
    const TrafficRequest request = m_options.make_request(m_report.sent++);
    auto message = ToRequest(request.http_request);
    message.set(beast::string_view(kRequestIdHeader), request.id);
    if (request.reply_bytes > 0) {
      message.set(beast::string_view(standin::kReplyBytesHeader),
                  std::to_string(request.reply_bytes));
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    error_code failure;
    const auto sent = Clock::now();
    stream.expires_after(m_options.request_timeout);
    co_await http::async_write(
        stream, message, asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      co_await http::async_read(
          stream, buffer, parser,
          asio::redirect_error(asio::use_awaitable, failure));
    }
    if (failure) {
      ++m_report.lost;
      // Inserted at the front: losses are rarer and more serious than refusals.
      m_report.failures.insert(
          m_report.failures.begin(),
          request.id + ": no complete response after " +
              std::to_string(ElapsedSince(sent).count()) + " us, " +
              std::to_string(parser.is_header_done() ? 1 : 0) +
              " header: " + failure.message());
      co_return false;
    }
    const bool keep_alive = parser.get().keep_alive();
    ClassifyResponse(request, ToResponse(parser.release()), sent);
    co_return keep_alive;
  }

  void ClassifyResponse(const TrafficRequest& request,
                        const HttpClientResponse& reply,
                        Clock::time_point sent) {
    static const std::string kVerdictName = LowerCaseName(kVerdictHeader);
    const std::string verdict = reply.Header(kVerdictName);
    if (verdict.empty() && IsExpectedResponse(request, reply)) {
      RecordCorrect(request, reply, sent);
      return;
    }
    RecordFailure(request,
                  std::to_string(reply.status) + " " + verdict + " " +
                      reply.body.substr(
                          0, std::min(kMaxQuotedBytes, reply.body.find('\n'))));
    if (verdict == ToString(Verdict::kNotRun)) {
      ++m_report.not_run;
      m_report.refused_ids.push_back(request.id);
    } else if (verdict == ToString(Verdict::kMayHaveRun)) {
      ++m_report.may_have_run;
    } else {
      ++m_report.incorrect;
    }
  }

  void RecordCorrect(const TrafficRequest& request,
                     const HttpClientResponse& reply,
                     Clock::time_point sent) {
    static const std::string kTargetName =
        LowerCaseName(standin::kTargetIdHeader);
    ++m_correct;
    ++m_report.correct;
    m_report.answered_by.emplace(request.id, reply.Header(kTargetName));
    m_report.latencies_us.push_back(
        static_cast<std::uint32_t>(ElapsedSince(sent).count()));
    if (request.key.empty()) {
      return;
    }
    const auto now = Clock::now();
    const auto [last, is_first] = m_last_correct.emplace(request.key, m_start);
    auto& gap = m_report.longest_gap[request.key];
    gap = std::max(gap, ElapsedSince(last->second));
    last->second = now;
  }

  void RecordFailure(const TrafficRequest& request, const std::string& what) {
    if (m_report.failures.size() < kMaxFailures) {
      m_report.failures.push_back(request.id + ": " + what);
    }
  }

  TrafficOptions m_options;
  asio::io_context m_context{1};
  TrafficReport m_report;
  std::map<std::string, Clock::time_point> m_last_correct;
  std::exception_ptr m_error;
  Clock::time_point m_start;
  std::atomic<std::uint64_t> m_correct = 0;
  std::atomic<bool> m_stopped = false;
  std::thread m_thread;
};

Traffic::Traffic(TrafficOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options))) {}

Traffic::~Traffic() = default;

std::uint64_t Traffic::correct() const {
  return m_impl->correct();
}

void Traffic::Stop() {
  m_impl->Stop();
}

TrafficReport Traffic::Finish() {
  return m_impl->Finish();
}

}  // namespace snipehall::test
