#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/duration_text.h"
#include "platform/header_names.h"
#include "platform/store_records.h"
#include "standins/common/http_server.h"
#include "standins/common/program.h"
#include "transport/http_connection.h"
#include "transport/spawn.h"

namespace snipehall::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::steady_clock;

// Command-line options of the program.
struct TargetOptions {
  std::string id = "t-1";
  std::string service = "catalog";
  std::string zone = "zone-1";
  // Address of the store.
  std::string store;
  // File to which each event is appended as a line of JSON.
  std::string events = "/dev/null";
  bool keyed = false;
  std::uint64_t slots = 3;
  // Mean time of a request.
  std::uint64_t work_ms = 30;
  // Number of requests after the start that are refused although slots are
  // free.
  std::uint64_t forced_refusals = 0;
  // Part of the path of requests that end the process when they begin; none if
  // it is empty.
  std::string poison;
  // Rate limit that it names in its responses, requests per second; none if it
  // is empty.
  std::string rate_limit;
  // Time after the start for which its entry says that it is cold.
  std::uint64_t cold_ms = 0;
};

std::int64_t NowMs() {
  return std::chrono::duration_cast<Milliseconds>(
             steady_clock::now().time_since_epoch())
      .count();
}

// Stand-in for a target of the users' platform. Registers itself in the store,
// checks fencing tokens and holds, and runs each request for a random time.
// Writes events from which a test learns what ran when and which keys the
// target held.
class Target {
 public:
  Target(asio::io_context& context, const TargetOptions& options)
      : m_context(context),
        m_options(options),
        m_store(context.get_executor(), options.store, 1 << 20),
        m_registration_timer(context),
        m_stall_check_timer(context),
        m_leave_signal(context, SIGUSR1),
        m_random(std::hash<std::string>()(options.id)) {
    CheckForStall();
    m_leave_signal.async_wait(
        [this](const auto& error, int) { m_leaving = !error; });
    m_events = ::open(options.events.c_str(),
                      O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  }
  ~Target() { ::close(m_events); }
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  void Handle(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const std::string_view path = PathOf(request);
    const std::string expected = Header(request, m_names.expected_target);
    if (!expected.empty() && expected != m_options.id) {
      Refuse(session, http::status::misdirected_request);
    } else if (path == "/-/grant") {
      Grant(session);
    } else if (path == "/-/release") {
      Release(session);
    } else if (path == "/health") {
      Answer(session, HttpResponse(http::status::ok, 11));
    } else {
      Execute(session);
    }
  }

  // Writes the target's entry to the store at a fixed interval until the
  // program ends.
  asio::awaitable<void> RegisterPeriodically(std::string address) {
    constexpr Milliseconds kRegistrationInterval{300};
    const std::int64_t started_ms =
        std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    for (std::uint64_t sequence = 1;; ++sequence) {
      const std::int64_t cold_left =
          started_ms + static_cast<std::int64_t>(m_options.cold_ms) -
          std::chrono::duration_cast<Milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
      json::object entry;
      entry["Address"] = address;
      entry["born"] = started_ms;
      entry["Info"] = json::object{{"Service", m_options.service},
                                   {"Version", "v1"},
                                   {"Zone", m_options.zone},
                                   {"Slots", m_options.slots}};
      entry["Status"] = json::object{
          {"State", "ready"},
          {"Sequence", sequence},
          {"ColdLeft",
           std::to_string(std::max<std::int64_t>(cold_left, 0)) + "ms"}};
      HttpClientRequest append;
      append.verb = http::verb::post;
      append.path = "/-/log-append?Topic=keyed.servers&part=0";
      append.body =
          platform::EncodeRecord({m_options.id, json::serialize(entry)});
      co_await m_store.Exchange(std::move(append),
                                steady_clock::now() + Milliseconds(1000));
      m_registration_timer.expires_after(kRegistrationInterval);
      co_await m_registration_timer.async_wait(asio::use_awaitable);
    }
  }

 private:
  static constexpr Milliseconds kStallCheckInterval{20};
  // A longer gap between two stall checks means that the process was stopped in
  // between.
  static constexpr Milliseconds kStallThreshold{100};

  // Key range that the target may serve until a deadline.
  struct Hold {
    KeyNumber first = 0;
    KeyNumber last = 0;
    FencingToken fencing_token = 0;
    steady_clock::time_point until;
  };

  // Sends a response, which says so if the target is leaving.
  void Answer(const std::shared_ptr<HttpSession>& session,
              HttpResponse response) const {
    if (m_leaving) {
      response.set(m_names.leaving.data(), "1");
    }
    session->Answer(std::move(response));
  }

  static std::string Header(const HttpRequest& request, std::string_view name) {
    const auto value = request[{name.data(), name.size()}];
    return {value.data(), value.size()};
  }

  // Checks periodically whether the process was stopped since the last check.
  void CheckForStall() {
    const auto now = steady_clock::now();
    if (m_last_stall_check != steady_clock::time_point() &&
        now - m_last_stall_check > kStallThreshold) {
      m_stall_start = m_last_stall_check;
      m_stall_end = now;
    }
    m_last_stall_check = now;
    m_stall_check_timer.expires_after(kStallCheckInterval);
    m_stall_check_timer.async_wait([this](const auto& error) {
      if (!error) {
        CheckForStall();
      }
    });
  }

  // Returns the earliest time at which a request that is read now may have
  // arrived. A request that is read just after a stall may have arrived at any
  // time during the stall.
  steady_clock::time_point EarliestArrivalTime() const {
    const auto now = steady_clock::now();
    if (now - m_last_stall_check > kStallThreshold) {
      return m_last_stall_check;
    }
    return now - m_stall_end < kStallThreshold ? m_stall_start : now;
  }

  // Appends an event to the events file as a line of JSON.
  void AppendEvent(json::object event) {
    event["target"] = m_options.id;
    event["ms"] = NowMs();
    const std::string line = json::serialize(event) + "\n";
    static_cast<void>(::write(m_events, line.data(), line.size()));
  }

  void Refuse(const std::shared_ptr<HttpSession>& session,
              http::status status) {
    HttpResponse response(status, 11);
    response.set(platform::kHeaderNames.not_run.data(), "1");
    response.set(m_names.load.data(), Load());
    SetRateLimit(response);
    Answer(session, std::move(response));
  }

  void SetRateLimit(HttpResponse& response) const {
    if (!m_options.rate_limit.empty()) {
      response.set(m_names.rate_limit.data(), m_options.rate_limit);
    }
  }

  // Returns the load header: requests running, requests queued and slots.
  std::string Load() const {
    return std::to_string(m_running_count) + ",0," +
           std::to_string(m_options.slots);
  }

  // Removes the keys from `first` to `last` from all holds whose token is not
  // higher than `fencing_token`.
  void RemoveOlderHolds(KeyNumber first,
                        KeyNumber last,
                        FencingToken fencing_token) {
    std::vector<Hold> remaining;
    for (const Hold& hold : m_holds) {
      if (hold.last < first || hold.first > last ||
          hold.fencing_token > fencing_token) {
        remaining.push_back(hold);
        continue;
      }
      if (hold.first < first) {
        remaining.push_back(
            {hold.first, first - 1, hold.fencing_token, hold.until});
      }
      if (hold.last > last) {
        remaining.push_back(
            {last + 1, hold.last, hold.fencing_token, hold.until});
      }
    }
    m_holds = std::move(remaining);
  }

  // Returns whether a higher token was received for any of the keys.
  bool HasNewerToken(KeyNumber first,
                     KeyNumber last,
                     FencingToken fencing_token) const {
    return std::any_of(m_seen_tokens.begin(), m_seen_tokens.end(),
                       [&](const Hold& seen_token) {
                         return seen_token.first <= last &&
                                seen_token.last >= first &&
                                seen_token.fencing_token > fencing_token;
                       });
  }

  void Grant(const std::shared_ptr<HttpSession>& session) {
    const json::object body =
        json::parse(session->request().body()).as_object();
    const auto first = body.at("From").to_number<KeyNumber>();
    const auto last = body.at("To").to_number<KeyNumber>();
    const auto fencing_token = body.at("fence").to_number<FencingToken>();
    const auto hold =
        platform::ParseDuration(std::string(body.at("Hold").as_string()));
    if (!m_options.keyed || !hold.has_value()) {
      Answer(session, HttpResponse(http::status::bad_request, 11));
      return;
    }
    if (HasNewerToken(first, last, fencing_token)) {
      Answer(session, HttpResponse(http::status::conflict, 11));
      return;
    }
    // The duration of the hold starts at the arrival of the request.
    const auto until = EarliestArrivalTime() + hold.value();
    RemoveOlderHolds(first, last, fencing_token);
    m_holds.push_back({first, last, fencing_token, until});
    m_seen_tokens.push_back({first, last, fencing_token, {}});
    AppendEvent({{"event", "grant"},
                 {"first", first},
                 {"last", last},
                 {"fence", fencing_token},
                 {"until_ms", std::chrono::duration_cast<Milliseconds>(
                                  until.time_since_epoch())
                                  .count()}});
    Answer(session, HttpResponse(http::status::ok, 11));
  }

  void Release(const std::shared_ptr<HttpSession>& session) {
    const json::object body =
        json::parse(session->request().body()).as_object();
    const auto first = body.at("From").to_number<KeyNumber>();
    const auto last = body.at("To").to_number<KeyNumber>();
    const auto fencing_token = body.at("fence").to_number<FencingToken>();
    RemoveOlderHolds(first, last, fencing_token);
    m_seen_tokens.push_back({first, last, fencing_token, {}});
    AppendEvent({{"event", "release"}, {"first", first}, {"last", last}});
    auto timer = std::make_shared<asio::steady_timer>(m_context);
    AnswerRelease(session, timer, first, last);
  }

  // Answers when no request for these keys is running any more.
  void AnswerRelease(const std::shared_ptr<HttpSession>& session,
                     const std::shared_ptr<asio::steady_timer>& timer,
                     KeyNumber first,
                     KeyNumber last) {
    const auto running = m_running_keys.lower_bound(first);
    if (running == m_running_keys.end() || *running > last) {
      HttpResponse response(http::status::ok, 11);
      response.set("Handover", m_options.id);
      Answer(session, std::move(response));
      return;
    }
    timer->expires_after(Milliseconds(5));
    timer->async_wait([this, session, timer, first, last](const auto&) {
      AnswerRelease(session, timer, first, last);
    });
  }

  // Returns whether an unexpired hold contains the key.
  bool HoldsKey(KeyNumber key) const {
    const auto now = steady_clock::now();
    return std::any_of(m_holds.begin(), m_holds.end(), [&](const Hold& hold) {
      return hold.first <= key && key <= hold.last && now < hold.until;
    });
  }

  void Execute(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const std::string id = Header(request, m_names.request_id);
    const std::string key = Header(request, m_names.key);
    const KeyNumber key_number =
        static_cast<KeyNumber>(ParseNumber(key).value_or(0));
    if (m_options.keyed && !HoldsKey(key_number)) {
      Refuse(session, http::status::misdirected_request);
      return;
    }
    if (m_options.forced_refusals > 0) {
      --m_options.forced_refusals;
      Refuse(session, http::status::service_unavailable);
      return;
    }
    if (m_running_count >= m_options.slots) {
      Refuse(session, http::status::service_unavailable);
      return;
    }
    if (!m_options.poison.empty() &&
        PathOf(request).find(m_options.poison) != std::string_view::npos) {
      AppendEvent({{"event", "crash"}, {"id", id}});
      std::_Exit(EXIT_FAILURE);
    }
    ++m_running_count;
    m_running_keys.insert(key_number);
    AppendEvent(
        {{"event", "begin"},
         {"id", id},
         {"key", m_options.keyed ? static_cast<std::int64_t>(key_number) : -1},
         {"bytes", request.body().size()}});
    auto timer = std::make_shared<asio::steady_timer>(m_context);
    timer->expires_after(
        Milliseconds(m_random() % (2 * m_options.work_ms + 1)));
    timer->async_wait([this, session, timer, id, key_number](const auto&) {
      --m_running_count;
      m_running_keys.erase(m_running_keys.find(key_number));
      HttpResponse response(http::status::ok, 11);
      response.set(m_names.request_id.data(), id);
      response.set(m_names.signature.data(), "by " + m_options.id);
      response.set(m_names.load.data(), Load());
      SetRateLimit(response);
      response.body() = "answer to " + id;
      Answer(session, std::move(response));
    });
  }

  asio::io_context& m_context;
  TargetOptions m_options;
  HttpConnection m_store;
  asio::steady_timer m_registration_timer;
  asio::steady_timer m_stall_check_timer;
  // SIGUSR1 makes the target say that it is leaving in all responses. Its entry
  // in the store stays as it is.
  asio::signal_set m_leave_signal;
  bool m_leaving = false;
  steady_clock::time_point m_last_stall_check;
  // Last stall that was detected.
  steady_clock::time_point m_stall_start;
  steady_clock::time_point m_stall_end;
  std::mt19937_64 m_random;
  GatewayHeaderNames m_names = platform::kHeaderNames;
  int m_events = -1;
  std::vector<Hold> m_holds;
  // All tokens that were received, with their key ranges.
  std::vector<Hold> m_seen_tokens;
  std::uint64_t m_running_count = 0;
  std::multiset<KeyNumber> m_running_keys;
};

int Run(int argc, char** argv) {
  TargetOptions options;
  HttpServer::Options server;
  ParseOptions(
      argc, argv,
      {{"listen", TextOption(&server.listen, "address:port")},
       {"id", TextOption(&options.id, "the target's id")},
       {"service", TextOption(&options.service, "its service")},
       {"zone", TextOption(&options.zone, "its availability zone")},
       {"store", TextOption(&options.store, "address of the store")},
       {"events", TextOption(&options.events, "file for its events")},
       {"keyed", FlagOption(&options.keyed, "requests belong to keys")},
       {"slots", NumberOption(&options.slots, "requests at a time")},
       {"poison", TextOption(&options.poison, "part of a path to crash on")},
       {"rate-limit", TextOption(&options.rate_limit, "requests per second")},
       {"cold-ms", NumberOption(&options.cold_ms, "time that it is cold")},
       {"refused", NumberOption(&options.forced_refusals,
                                "first requests that are refused")},
       {"work-ms", NumberOption(&options.work_ms, "mean time of a request")}});
  asio::io_context context(1);
  Target target(context, options);
  // The listen address must include the port, since the target registers this
  // address.
  Spawn(context.get_executor(), target.RegisterPeriodically(server.listen));
  return RunServer(context, server,
                   [&target](const auto& session) { target.Handle(session); });
}

}  // namespace

}  // namespace snipehall::standin

int main(int argc, char** argv) {
  return snipehall::standin::Run(argc, argv);
}
