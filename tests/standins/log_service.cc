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

// Maximum size of the records in one read response, so that responses stay
// small. A larger single record is still returned.
constexpr std::size_t kMaxReadBytes = 4 << 20;
constexpr std::uint64_t kMaxReadRecords = 1000;
// Maximum time for which a read waits for a record.
constexpr std::uint64_t kMaxReadWaitMs = 60000;
// Appends that would have to wait longer than this are refused with 503.
constexpr milliseconds kMaxAppendWait{1000};

// Command-line options of the program.
struct LogOptions {
  std::uint64_t appends_per_second = 500;
  // Number of records kept; 0 for all.
  std::uint64_t retain = 0;
  // Delay of responses.
  std::uint64_t delay_ms = 0;
};

// Stand-in for the platform's append-only log service; see docs/design.md, 4.3.
// Appends take effect in order of arrival at the configured maximum rate. A
// read returns the log as of the read's arrival or the end of its wait.
// Responses to both are then delayed by the configured time, to simulate a slow
// network path to the client.
class LogService {
 public:
  LogService(asio::io_context& context, const LogOptions& options)
      : m_context(context),
        m_append_interval(std::chrono::microseconds(
            1000000 / std::max<std::uint64_t>(options.appends_per_second, 1))),
        m_max_records(options.retain),
        m_response_delay(options.delay_ms) {}

  void Handle(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const std::string_view path = PathOf(request);
    const bool post = request.method() == http::verb::post;
    const bool get = request.method() == http::verb::get;
    if (path == "/v1/records" && (post || get)) {
      if (!m_outage.Intercept(session)) {
        post ? Append(session) : Read(session);
      }
    } else if (post && path == "/test/outage") {
      m_outage.HandleControl(session);
      CompletePendingReads();
    } else if (post && path == "/test/delay_ms") {
      HandleCountControl(session, "ms", [this](int ms) {
        m_response_delay = milliseconds(ms);
      });
    } else if (post && path == "/test/drop_replies") {
      HandleCountControl(session, "count",
                         [this](int count) { m_replies_to_drop = count; });
    } else if (post && path == "/test/retain") {
      HandleCountControl(session, "records", [this](int records) {
        m_max_records = records;
        ApplyRetention();
      });
    } else if (get && path == "/test/state") {
      session->Answer(JsonAnswer(http::status::ok, State()));
    } else {
      session->Answer(ErrorAnswer(http::status::not_found, "unknown path"));
    }
  }

 private:
  // Read request that waits for a new record.
  struct PendingRead {
    PendingRead(asio::io_context& context,
                std::shared_ptr<HttpSession> waiting_session,
                std::uint64_t from_offset,
                std::uint64_t max_records)
        : timer(context),
          session(std::move(waiting_session)),
          from(from_offset),
          max(max_records) {}

    asio::steady_timer timer;
    std::shared_ptr<HttpSession> session;
    std::uint64_t from;
    std::uint64_t max;
  };

  LogOffset end() const { return m_first + m_records.size(); }

  // Returns whether the record is valid text. Reads return it as a JSON string.
  static bool IsText(const std::string& body) {
    boost::json::object wrapper;
    wrapper["data"] = body;
    return ParseJson(boost::json::serialize(wrapper)).has_value();
  }

  void Append(const std::shared_ptr<HttpSession>& session) {
    if (session->request().body().empty() ||
        !IsText(session->request().body())) {
      session->Answer(
          ErrorAnswer(http::status::bad_request, "the record is not text"));
      return;
    }
    const auto now = steady_clock::now();
    if (m_next_append - now > kMaxAppendWait) {
      session->Answer(ErrorAnswer(http::status::service_unavailable,
                                  "too many appends are waiting"));
      return;
    }
    m_next_append = std::max(m_next_append, now) + m_append_interval;
    ++m_appends_waiting;
    RunAt(m_next_append, [this, session] {
      --m_appends_waiting;
      if (!m_outage.Intercept(session)) {
        Store(session);
      }
    });
  }

  void Store(const std::shared_ptr<HttpSession>& session) {
    const LogOffset offset = end();
    m_records.push_back(session->request().body());
    ++m_appends;
    ApplyRetention();
    CompletePendingReads();
    if (m_replies_to_drop > 0) {
      --m_replies_to_drop;
      session->Abort();
      return;
    }
    AnswerAfterDelay(
        session,
        JsonAnswer(http::status::ok, boost::json::serialize(boost::json::object{
                                         {"offset", offset}})));
  }

  void Read(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const auto from = QueryNumber(request, "from", 1);
    const auto max = QueryNumber(request, "max", kMaxReadRecords);
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
    const auto pending_read = m_pending_reads.emplace(
        m_pending_reads.end(), m_context, session, *from, *max);
    pending_read->timer.expires_after(
        milliseconds(std::min(*wait_ms, kMaxReadWaitMs)));
    pending_read->timer.async_wait(
        [this, pending_read](error_code /*failure*/) {
          const auto waiting_session = pending_read->session;
          const std::uint64_t from_offset = pending_read->from;
          const std::uint64_t max_records = pending_read->max;
          m_pending_reads.erase(pending_read);
          if (!m_outage.Intercept(waiting_session)) {
            AnswerRead(waiting_session, from_offset, max_records);
          }
        });
  }

  // Answers all pending reads with the current content of the log.
  void CompletePendingReads() {
    for (PendingRead& pending_read : m_pending_reads) {
      pending_read.timer.cancel();
    }
  }

  void AnswerRead(const std::shared_ptr<HttpSession>& session,
                  std::uint64_t from,
                  std::uint64_t max) {
    RawLogRead read;
    read.first = m_first;
    read.end = end();
    const bool is_trimmed = from < m_first;
    std::size_t bytes = 0;
    for (LogOffset offset = from; !is_trimmed && offset < end(); ++offset) {
      const std::string& record = m_records[offset - m_first];
      bytes += record.size();
      const bool is_full =
          read.records.size() >= std::min(max, kMaxReadRecords) ||
          (bytes > kMaxReadBytes && !read.records.empty());
      if (is_full) {
        break;
      }
      read.records.push_back({offset, record});
    }
    AnswerAfterDelay(
        session, JsonAnswer(is_trimmed ? http::status::gone : http::status::ok,
                            EncodeLogRead(read)));
  }

  void AnswerAfterDelay(const std::shared_ptr<HttpSession>& session,
                        HttpResponse response) {
    if (m_response_delay.count() == 0) {
      session->Answer(std::move(response));
      return;
    }
    RunAt(steady_clock::now() + m_response_delay,
          [this, session, delayed_response = std::move(response)]() mutable {
            if (!m_outage.Intercept(session)) {
              session->Answer(std::move(delayed_response));
            }
          });
  }

  template <typename Function>
  void RunAt(steady_clock::time_point time, Function function) {
    auto timer = std::make_shared<asio::steady_timer>(m_context, time);
    timer->async_wait(
        [timer, call = std::move(function)](error_code failure) mutable {
          if (!failure) {
            call();
          }
        });
  }

  // Handles a control request whose body has a single number, which is passed
  // to `function`.
  template <typename Function>
  void HandleCountControl(const std::shared_ptr<HttpSession>& session,
                          std::string_view name,
                          Function function) {
    ApplyControl(session, [name, function](JsonFields& fields) {
      const int count = fields.Count(name);
      return [function, count] { function(count); };
    });
  }

  // Deletes the oldest records beyond the retention limit.
  void ApplyRetention() {
    while (m_max_records > 0 && m_records.size() > m_max_records) {
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
                            {"waiting_reads", m_pending_reads.size()}});
  }

  asio::io_context& m_context;
  std::chrono::microseconds m_append_interval;
  // Maximum number of records kept; 0 for no limit.
  std::uint64_t m_max_records;
  milliseconds m_response_delay;
  // Number of following appends whose responses are dropped.
  int m_replies_to_drop = 0;
  Outage m_outage;
  LogOffset m_first = 1;
  std::deque<std::string> m_records;
  std::list<PendingRead> m_pending_reads;
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
