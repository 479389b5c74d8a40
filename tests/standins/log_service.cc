#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "protocol/platform_protocol.h"
#include "standins/common/http_server.h"
#include "standins/common/outage.h"
#include "standins/common/program.h"
#include "standins/common/test_control.h"

namespace snipehall::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Most data that one read returns, so that an answer stays small.
constexpr std::size_t kReadBytesLimit = 4 << 20;
constexpr std::uint64_t kReadRecordsLimit = 1000;
constexpr std::uint64_t kWaitLimitMs = 60000;
// Appends that wait for longer than this are refused with 503.
constexpr milliseconds kBacklogLimit{1000};

struct LogOptions {
  std::uint64_t appends_per_second = 500;
  std::uint64_t retain = 0;
  std::uint64_t delay_ms = 0;
};

// Stand-in for the platform's append-only log service; see docs/design.md,
// 4.3. A read sees the log as it was when the read arrived or its wait ended;
// the delay passes after that, as it does on a slow way back. An append takes
// effect when its turn at the given rate comes, before the delay.
class LogService {
 public:
  LogService(asio::io_context& context, const LogOptions& options)
      : m_context(context),
        m_append_interval(std::chrono::microseconds(
            1000000 / std::max<std::uint64_t>(options.appends_per_second, 1))),
        m_retain(options.retain),
        m_delay(options.delay_ms) {}

  void Handle(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const std::string_view path = PathOf(request);
    const bool post = request.method() == http::verb::post;
    const bool get = request.method() == http::verb::get;
    if (path == "/v1/records" && (post || get)) {
      if (!m_outage.Take(session)) {
        post ? Append(session) : Read(session);
      }
    } else if (post && path == "/test/outage") {
      m_outage.Set(session);
      WakeWaiters();
    } else if (post && path == "/test/delay_ms") {
      SetCount(session, "ms", [this](int ms) { m_delay = milliseconds(ms); });
    } else if (post && path == "/test/drop_replies") {
      SetCount(session, "count", [this](int count) { m_drop_replies = count; });
    } else if (post && path == "/test/retain") {
      SetCount(session, "records", [this](int records) {
        m_retain = records;
        Trim();
      });
    } else if (get && path == "/test/state") {
      session->Answer(JsonAnswer(http::status::ok, State()));
    } else {
      session->Answer(ErrorAnswer(http::status::not_found, "unknown path"));
    }
  }

 private:
  // A read that waits for a record.
  struct Waiter {
    Waiter(asio::io_context& context,
           std::shared_ptr<HttpSession> waiting,
           std::uint64_t from_offset,
           std::uint64_t max_records)
        : timer(context),
          session(std::move(waiting)),
          from(from_offset),
          max(max_records) {}

    asio::steady_timer timer;
    std::shared_ptr<HttpSession> session;
    std::uint64_t from;
    std::uint64_t max;
  };

  LogOffset end() const { return m_first + m_records.size(); }

  // The record must be text, since reads carry it in a JSON string.
  static bool IsText(const std::string& body) {
    boost::json::object probe;
    probe["data"] = body;
    return ParseJson(boost::json::serialize(probe)).has_value();
  }

  void Append(const std::shared_ptr<HttpSession>& session) {
    if (session->request().body().empty() ||
        !IsText(session->request().body())) {
      session->Answer(
          ErrorAnswer(http::status::bad_request, "the record is not text"));
      return;
    }
    const auto now = steady_clock::now();
    if (m_next_append - now > kBacklogLimit) {
      session->Answer(ErrorAnswer(http::status::service_unavailable,
                                  "too many appends are waiting"));
      return;
    }
    m_next_append = std::max(m_next_append, now) + m_append_interval;
    ++m_appends_waiting;
    After(m_next_append, [this, session] {
      --m_appends_waiting;
      if (!m_outage.Take(session)) {
        Store(session);
      }
    });
  }

  void Store(const std::shared_ptr<HttpSession>& session) {
    const LogOffset offset = end();
    m_records.push_back(session->request().body());
    ++m_appends;
    Trim();
    WakeWaiters();
    if (m_drop_replies > 0) {
      --m_drop_replies;
      session->Abort();
      return;
    }
    AnswerLate(session, JsonAnswer(http::status::ok,
                                   boost::json::serialize(boost::json::object{
                                       {"offset", offset}})));
  }

  void Read(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const auto from = QueryNumber(request, "from", 1);
    const auto max = QueryNumber(request, "max", kReadRecordsLimit);
    const auto wait_ms = QueryNumber(request, "wait_ms", 0);
    if (!from.has_value() || !max.has_value() || !wait_ms.has_value()) {
      session->Answer(ErrorAnswer(http::status::bad_request,
                                  "from, max and wait_ms are numbers"));
      return;
    }
    if (*from < end() || *wait_ms == 0) {
      AnswerRead(session, *from, *max);
      return;
    }
    const auto waiter =
        m_waiters.emplace(m_waiters.end(), m_context, session, *from, *max);
    waiter->timer.expires_after(milliseconds(std::min(*wait_ms, kWaitLimitMs)));
    waiter->timer.async_wait([this, waiter](error_code /*failure*/) {
      const auto waiting = waiter->session;
      const std::uint64_t from_offset = waiter->from;
      const std::uint64_t max_records = waiter->max;
      m_waiters.erase(waiter);
      if (!m_outage.Take(waiting)) {
        AnswerRead(waiting, from_offset, max_records);
      }
    });
  }

  // Ends all waits: each reader gets what it can see now.
  void WakeWaiters() {
    for (Waiter& waiter : m_waiters) {
      waiter.timer.cancel();
    }
  }

  void AnswerRead(const std::shared_ptr<HttpSession>& session,
                  std::uint64_t from,
                  std::uint64_t max) {
    RawLogRead read;
    read.first = m_first;
    read.end = end();
    const bool gone = from < m_first;
    std::size_t bytes = 0;
    for (LogOffset offset = from; !gone && offset < end(); ++offset) {
      const std::string& data = m_records[offset - m_first];
      bytes += data.size();
      const bool full =
          read.records.size() >= std::min(max, kReadRecordsLimit) ||
          (bytes > kReadBytesLimit && !read.records.empty());
      if (full) {
        break;
      }
      read.records.push_back({offset, data});
    }
    AnswerLate(session, JsonAnswer(gone ? http::status::gone : http::status::ok,
                                   EncodeLogRead(read)));
  }

  void AnswerLate(const std::shared_ptr<HttpSession>& session,
                  HttpResponse response) {
    if (m_delay.count() == 0) {
      session->Answer(std::move(response));
      return;
    }
    After(steady_clock::now() + m_delay,
          [this, session, late = std::move(response)]() mutable {
            if (!m_outage.Take(session)) {
              session->Answer(std::move(late));
            }
          });
  }

  template <typename Function>
  void After(steady_clock::time_point time, Function function) {
    auto timer = std::make_shared<asio::steady_timer>(m_context, time);
    timer->async_wait(
        [timer, call = std::move(function)](error_code failure) mutable {
          if (!failure) {
            call();
          }
        });
  }

  template <typename Function>
  void SetCount(const std::shared_ptr<HttpSession>& session,
                std::string_view name,
                Function function) {
    ApplyControl(session, [name, function](JsonFields& fields) {
      const int count = fields.Count(name);
      return [function, count] { function(count); };
    });
  }

  void Trim() {
    while (m_retain > 0 && m_records.size() > m_retain) {
      m_records.pop_front();
      ++m_first;
    }
  }

  std::string State() const {
    return boost::json::serialize(
        boost::json::object{{"first", m_first},
                            {"end", end()},
                            {"outage", m_outage.on()},
                            {"appends", m_appends},
                            {"appends_waiting", m_appends_waiting},
                            {"waiting_reads", m_waiters.size()}});
  }

  asio::io_context& m_context;
  std::chrono::microseconds m_append_interval;
  std::uint64_t m_retain;
  milliseconds m_delay;
  int m_drop_replies = 0;
  Outage m_outage;
  LogOffset m_first = 1;
  std::deque<std::string> m_records;
  std::list<Waiter> m_waiters;
  steady_clock::time_point m_next_append{};
  std::uint64_t m_appends = 0;
  int m_appends_waiting = 0;
};

int Run(int argc, char** argv) {
  HttpServer::Options server;
  LogOptions options;
  ParseOptions(
      argc, argv,
      {{"listen", TextOption(&server.listen, "address:port")},
       {"appends-per-second",
        NumberOption(&options.appends_per_second, "greatest rate of appends")},
       {"retain", NumberOption(&options.retain, "records kept, 0 for all")},
       {"delay-ms", NumberOption(&options.delay_ms, "delay of answers")}});
  asio::io_context context(1);
  LogService log(context, options);
  return RunServer(context, server,
                   [&log](const auto& session) { log.Handle(session); });
}

}  // namespace

}  // namespace snipehall::standin

int main(int argc, char** argv) {
  return snipehall::standin::Run(argc, argv);
}
