#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <chrono>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "protocol/target_protocol.h"
#include "standins/common/echo.h"
#include "standins/common/http_server.h"
#include "standins/common/lease_state.h"
#include "standins/common/program.h"
#include "standins/common/run_history.h"
#include "standins/common/test_control.h"
#include "state/hash_range.h"
#include "state/verdict.h"

namespace snipehall::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Additional service time of a request right after the start. It decreases
// linearly to zero during the cold-start time.
constexpr double kMaxColdStartDelayMs = 20;
// Maximum of `X-Work-Ms`: one hour.
constexpr double kMaxWorkMs = 3600000;
constexpr std::uint64_t kMaxReplyBytes = std::uint64_t{256} << 20;
// Number of executions in a history response if the request gives no `max`.
constexpr std::uint64_t kDefaultHistoryPageRuns = 100000;

// Command-line options of the program.
struct TargetOptions {
  std::string id = "target";
  std::string service = "service";
  std::string zone = "zone";
  std::uint64_t slots = 3;
  std::uint64_t queue_limit = 1000;
  std::uint64_t cold_start_ms = 0;
  std::uint64_t history_limit = 1000000;
  std::string history_file;
  bool keyed = false;
  // Whether a keyed target refuses requests that its lease does not cover.
  bool checks_orders = false;
  // Always reports that the target is healthy and idle, regardless of its
  // state.
  bool reports_healthy_and_idle = false;
};

std::string_view Header(const HttpRequest& request, std::string_view name) {
  const auto found = request.find(boost::beast::string_view(name));
  return found == request.end()
             ? std::string_view()
             : std::string_view(found->value().data(), found->value().size());
}

// Stand-in for a server that runs requests; see docs/design.md, 4.2. If a
// request requires a lease, the lease is checked when the request starts and
// again when it ends. If the lease has expired in between, the request's effect
// is discarded and it counts as not run, as in a server whose commits are
// fenced.
class Target {
 public:
  Target(asio::io_context& context, TargetOptions options)
      : m_context(context),
        m_options(std::move(options)),
        m_history(m_options.history_limit,
                  m_options.history_file,
                  m_options.id,
                  m_lease.incarnation()),
        m_started(steady_clock::now()) {}

  void Handle(const std::shared_ptr<HttpSession>& session) {
    const std::string_view path = PathOf(session->request());
    const bool is_control_path = path.starts_with("/control/") ||
                                 path.starts_with("/test/") ||
                                 path == "/health" || path == "/load";
    if (is_control_path) {
      HandleControl(session, path);
    } else {
      Admit(session);
    }
  }

 private:
  // Admitted request, either queued or running in a slot.
  struct Job {
    Job(asio::io_context& context, std::shared_ptr<HttpSession> waiting)
        : session(std::move(waiting)), timer(context) {}

    std::shared_ptr<HttpSession> session;
    asio::steady_timer timer;
    std::string id;
    std::uint64_t hash = 0;
    LogOffset token = 0;
    microseconds work{0};
    steady_clock::time_point deadline = steady_clock::time_point::max();
    std::uint64_t lease_term = 0;
    std::size_t history_index = 0;
    bool cancelled = false;
  };
  using JobList = std::list<Job>;

  bool checks_leases() const {
    return m_options.keyed && m_options.checks_orders;
  }

  std::size_t outstanding() const { return m_running.size() + m_queue.size(); }

  // Remaining fraction of the cold-start time, from 1 at the start to 0.
  double ColdStartFraction() const {
    const double age = std::chrono::duration<double, std::milli>(
                           steady_clock::now() - m_started)
                           .count();
    const auto period = static_cast<double>(m_options.cold_start_ms);
    return period <= age ? 0 : 1 - age / period;
  }

  void Admit(const std::shared_ptr<HttpSession>& session) {
    if (m_draining && !m_options.keyed) {
      Refuse(session, http::status::service_unavailable, "draining");
      return;
    }
    if (outstanding() >= m_options.slots + m_options.queue_limit) {
      Refuse(session, http::status::service_unavailable, "overloaded");
      return;
    }
    JobList admitted;
    admitted.emplace_back(m_context, session);
    if (const char* job_error = ParseJob(admitted.front());
        job_error != nullptr) {
      Refuse(session, http::status::bad_request, job_error);
      return;
    }
    m_queue.splice(m_queue.end(), admitted);
    StartQueued();
  }

  // Sets the job's fields from the request headers. Returns an error message,
  // or null on success.
  static const char* ParseJob(Job& job) {
    const HttpRequest& request = job.session->request();
    job.id = Header(request, kRequestIdHeader);
    const std::string_view work = Header(request, kWorkHeader);
    const auto work_time = ParseWorkTime(work);
    if (!work_time.has_value()) {
      return "X-Work-Ms is no number or too large";
    }
    job.work = *work_time;
    const std::string_view reply_bytes = Header(request, kReplyBytesHeader);
    if (!reply_bytes.empty() &&
        ParseNumber(reply_bytes).value_or(UINT64_MAX) > kMaxReplyBytes) {
      return "X-Reply-Bytes is no number or too large";
    }
    const std::string_view deadline = Header(request, kDeadlineHeader);
    if (!deadline.empty()) {
      const auto deadline_ms = ParseNumber(deadline);
      if (!deadline_ms.has_value()) {
        return "Snipehall-Deadline-Ms is no number";
      }
      job.deadline = steady_clock::now() + milliseconds(*deadline_ms);
    }
    const std::string_view hash = Header(request, kHashHeader);
    const std::string_view token = Header(request, kTokenHeader);
    if (hash.empty() != token.empty()) {
      return "a hash and its token belong together";
    }
    if (hash.empty()) {
      return nullptr;
    }
    const auto hash_value = ParseHex(hash);
    const auto token_value = ParseNumber(token);
    if (!hash_value.has_value() || !token_value.has_value()) {
      return "malformed hash or token";
    }
    job.hash = hash_value.value();
    job.token = *token_value;
    return nullptr;
  }

  // Parses a time in milliseconds, which may have a fraction. Returns zero for
  // an empty text, and `std::nullopt` if it is malformed or above `kMaxWorkMs`.
  static std::optional<microseconds> ParseWorkTime(std::string_view text) {
    double work_ms = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, work_ms);
    if (text.empty()) {
      return microseconds(0);
    }
    if (parsed.ec != std::errc() || parsed.ptr != end || !(work_ms >= 0) ||
        work_ms > kMaxWorkMs) {
      return std::nullopt;
    }
    return microseconds(static_cast<std::int64_t>(work_ms * 1000));
  }

  void StartQueued() {
    while (!m_queue.empty() && m_running.size() < m_options.slots) {
      Start(m_queue.begin());
    }
  }

  void Start(JobList::iterator job) {
    if (checks_leases() && !m_lease.Owns(job->hash, job->token)) {
      RefuseQueued(job, http::status::conflict,
                   m_lease.IsExpired() ? "lease lapsed" : "not the owner");
      return;
    }
    if (steady_clock::now() >= job->deadline) {
      RefuseQueued(job, http::status::service_unavailable, "deadline passed");
      return;
    }
    m_running.splice(m_running.end(), m_queue, job);
    job->lease_term = m_lease.term();
    job->history_index = m_history.Start(Run{
        .request_id = job->id,
        .keyed = m_options.keyed,
        .hash = job->hash,
        .token = job->token,
    });
    const microseconds work =
        job->work + microseconds(static_cast<std::int64_t>(
                        kMaxColdStartDelayMs * 1000 * ColdStartFraction()));
    if (work.count() == 0) {
      Finish(job);
      return;
    }
    job->timer.expires_after(work);
    job->timer.async_wait([this, job](error_code /*failure*/) {
      Finish(job);
      StartQueued();
    });
  }

  void Finish(JobList::iterator job) {
    const bool is_fenced =
        checks_leases() &&
        (m_lease.IsExpired() || m_lease.term() != job->lease_term);
    const RunState state = job->cancelled ? RunState::kCancelled
                           : is_fenced    ? RunState::kFenced
                                          : RunState::kFinished;
    m_history.End(job->history_index, state);
    const auto session = job->session;
    const std::string id = std::move(job->id);
    m_running.erase(job);
    if (state == RunState::kFinished) {
      AnswerRequest(session, id);
    } else if (state == RunState::kFenced) {
      Refuse(session, http::status::conflict, "lease lapsed");
    } else {
      HttpResponse response =
          ErrorAnswer(http::status::service_unavailable, "cancelled");
      response.set(BeastView(kVerdictHeader),
                   BeastView(ToString(Verdict::kMayHaveRun)));
      session->Answer(std::move(response));
    }
  }

  void AnswerRequest(const std::shared_ptr<HttpSession>& session,
                     const std::string& id) {
    const HttpRequest& request = session->request();
    const std::string_view size_text = Header(request, kReplyBytesHeader);
    const std::string_view body = request.body();
    HttpResponse response;
    response.set(http::field::content_type, "application/octet-stream");
    response.set(BeastView(kTargetIdHeader), BeastView(m_options.id));
    response.set(BeastView(kEchoIdHeader), BeastView(id));
    SetLoad(response);
    if (!body.empty()) {
      response.set(BeastView(kEchoBytesHeader), std::to_string(body.size()));
      response.set(BeastView(kEchoHashHeader), ToHex(HashKey(body)));
    }
    response.body() =
        size_text.empty()
            ? SmallReply(m_options.id, id, BeastView(request.method_string()),
                         BeastView(request.target()), body)
            : LargeReply(id, ParseNumber(size_text).value_or(0));
    session->Answer(std::move(response));
  }

  static boost::beast::string_view BeastView(std::string_view text) {
    return {text.data(), text.size()};
  }

  void SetLoad(HttpResponse& response) const {
    response.set(
        BeastView(kTargetLoadHeader),
        std::to_string(m_options.reports_healthy_and_idle ? 0 : outstanding()) +
            "/" + std::to_string(m_options.slots));
  }

  void Refuse(const std::shared_ptr<HttpSession>& session,
              http::status status,
              std::string_view reason) const {
    HttpResponse response = ErrorAnswer(status, reason);
    response.set(BeastView(kVerdictHeader),
                 BeastView(ToString(Verdict::kNotRun)));
    response.set(BeastView(kTargetIdHeader), BeastView(m_options.id));
    SetLoad(response);
    session->Answer(std::move(response));
  }

  void RefuseQueued(JobList::iterator job,
                    http::status status,
                    std::string_view reason) {
    const auto session = job->session;
    m_queue.erase(job);
    Refuse(session, status, reason);
  }

  // Handles a request to one of the target's own paths.
  void HandleControl(const std::shared_ptr<HttpSession>& session,
                     std::string_view path) {
    const http::verb method = session->request().method();
    const bool get = method == http::verb::get;
    const bool post = method == http::verb::post;
    if (post && path == "/control/lease") {
      HandleLeaseOrder(session);
    } else if (get && path == "/control/status") {
      session->Answer(JsonAnswer(http::status::ok, EncodeLeaseState()));
    } else if (post && path == "/control/cancel") {
      HandleCancel(session);
    } else if (post && path == "/control/drain") {
      m_draining = true;
      session->Answer(JsonAnswer(http::status::ok, EncodeLeaseState()));
    } else if (get && path == "/health") {
      HandleHealth(session);
    } else if (get && path == "/load") {
      HandleLoad(session);
    } else if (post && path == "/test/lying") {
      ApplyControl(session, [this](JsonFields& fields) {
        const bool on = fields.Boolean("on");
        return [this, on] { m_options.reports_healthy_and_idle = on; };
      });
    } else if (get && path == "/test/history") {
      HandleHistory(session);
    } else if (get && path == "/test/runs") {
      const std::string_view id = QueryValue(session->request(), "id");
      session->Answer(JsonAnswer(
          http::status::ok,
          "{\"runs\":" + std::to_string(m_history.CountOf(id)) + "}"));
    } else {
      session->Answer(ErrorAnswer(http::status::not_found, "unknown path"));
    }
  }

  void HandleLeaseOrder(const std::shared_ptr<HttpSession>& session) {
    const auto order = DecodeLeaseOrder(session->request().body());
    if (!order.has_value()) {
      session->Answer(
          ErrorAnswer(http::status::bad_request, order.error().message));
      return;
    }
    const bool accepted = m_lease.Apply(order.value());
    session->Answer(
        JsonAnswer(accepted ? http::status::ok : http::status::conflict,
                   EncodeLeaseState()));
  }

  std::string EncodeLeaseState() const {
    LeaseAnswer answer;
    answer.incarnation = m_lease.incarnation();
    answer.clock_ms = LeaseState::ClockMs();
    answer.assignment_version = m_lease.assignment_version();
    answer.deadline_ms = m_lease.deadline_ms();
    answer.outstanding = static_cast<int>(outstanding());
    answer.revoked_ranges_in_progress = RevokedRangesInProgress();
    answer.slots = static_cast<int>(m_options.slots);
    answer.load = ReportedLoad();
    return EncodeLeaseAnswer(answer);
  }

  // Returns the number of running requests whose key is no longer in the leased
  // ranges.
  int RevokedRangesInProgress() const {
    if (!m_options.keyed) {
      return 0;
    }
    return static_cast<int>(std::count_if(
        m_running.begin(), m_running.end(), [this](const Job& job) {
          return !m_lease.Contains(job.hash, job.token);
        }));
  }

  double ReportedLoad() const {
    return m_options.reports_healthy_and_idle
               ? 0
               : static_cast<double>(outstanding()) /
                     static_cast<double>(m_options.slots);
  }

  // Cancels requests by id. A queued request is refused as not run; a running
  // request ends immediately.
  void HandleCancel(const std::shared_ptr<HttpSession>& session) {
    ApplyControl(session, [this](JsonFields& fields) {
      const std::string id = fields.NonEmptyString("request_id");
      return [this, id] { CancelRequest(id); };
    });
  }

  void CancelRequest(const std::string& id) {
    for (auto job = m_queue.begin(); job != m_queue.end();) {
      const auto next = std::next(job);
      if (job->id == id) {
        RefuseQueued(job, http::status::service_unavailable, "cancelled");
      }
      job = next;
    }
    for (Job& job : m_running) {
      if (job.id == id) {
        job.cancelled = true;
        job.timer.cancel();
      }
    }
  }

  void HandleHealth(const std::shared_ptr<HttpSession>& session) const {
    const bool overloaded =
        outstanding() >= m_options.slots + m_options.queue_limit;
    const bool healthy = m_options.reports_healthy_and_idle ||
                         !(m_draining || overloaded || ColdStartFraction() > 0);
    session->Answer(JsonAnswer(
        healthy ? http::status::ok : http::status::service_unavailable,
        healthy ? R"({"healthy":true})" : R"({"healthy":false})"));
  }

  void HandleLoad(const std::shared_ptr<HttpSession>& session) const {
    session->Answer(
        JsonAnswer(http::status::ok,
                   boost::json::serialize(boost::json::object{
                       {"id", m_options.id},
                       {"service", m_options.service},
                       {"zone", m_options.zone},
                       {"outstanding",
                        m_options.reports_healthy_and_idle ? 0 : outstanding()},
                       {"slots", m_options.slots},
                       {"load", ReportedLoad()}})));
  }

  void HandleHistory(const std::shared_ptr<HttpSession>& session) const {
    const auto from = QueryNumber(session->request(), "from", 0);
    const auto max =
        QueryNumber(session->request(), "max", kDefaultHistoryPageRuns);
    if (!from.has_value() || !max.has_value()) {
      session->Answer(
          ErrorAnswer(http::status::bad_request, "from and max are numbers"));
      return;
    }
    session->Answer(
        JsonAnswer(http::status::ok, m_history.ToJson(*from, *max)));
  }

  asio::io_context& m_context;
  TargetOptions m_options;
  LeaseState m_lease;
  RunHistory m_history;
  steady_clock::time_point m_started;
  bool m_draining = false;
  JobList m_queue;
  JobList m_running;
};

int RunTarget(int argc, char** argv) {
  HttpServer::Options server;
  TargetOptions options;
  std::uint64_t connection_limit = SIZE_MAX;
  std::uint64_t connection_cost_ms = 0;
  ParseOptions(
      argc, argv,
      {{"listen", TextOption(&server.listen, "address:port")},
       {"id", TextOption(&options.id, "target id")},
       {"service", TextOption(&options.service, "service")},
       {"zone", TextOption(&options.zone, "zone")},
       {"slots", NumberOption(&options.slots, "requests run at a time")},
       {"queue-limit", NumberOption(&options.queue_limit, "queued requests")},
       {"connection-limit", NumberOption(&connection_limit, "connections")},
       {"connection-cost-ms",
        NumberOption(&connection_cost_ms, "time to set up a connection, ms")},
       {"keyed", FlagOption(&options.keyed, "requests belong to keys")},
       {"checks-orders",
        FlagOption(&options.checks_orders, "checks leases and tokens")},
       {"cold-start-ms", NumberOption(&options.cold_start_ms,
                                      "time of slow service after start, ms")},
       {"history-limit",
        NumberOption(&options.history_limit, "executions kept")},
       {"history-file", TextOption(&options.history_file,
                                   "file that gets a line per execution")},
       {"lying", FlagOption(&options.reports_healthy_and_idle,
                            "reports health and no load")}});
  server.connection_limit = connection_limit;
  server.connection_setup_delay = milliseconds(connection_cost_ms);
  options.slots = std::max<std::uint64_t>(options.slots, 1);
  asio::io_context context(1);
  Target target(context, std::move(options));
  return RunServer(context, server,
                   [&target](const auto& session) { target.Handle(session); });
}

}  // namespace

}  // namespace snipehall::standin

int main(int argc, char** argv) {
  return snipehall::standin::RunTarget(argc, argv);
}
