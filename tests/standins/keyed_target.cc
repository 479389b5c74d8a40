#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
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

struct TargetOptions {
  std::string id = "t-1";
  std::string service = "catalog";
  std::string zone = "zone-1";
  std::string store;
  // File to which each event is appended as a line of JSON.
  std::string events = "/dev/null";
  bool keyed = false;
  std::uint64_t slots = 3;
  std::uint64_t work_ms = 30;
  // First requests that are refused though slots are free.
  std::uint64_t refused = 0;
};

std::int64_t NowMs() {
  return std::chrono::duration_cast<Milliseconds>(
             steady_clock::now().time_since_epoch())
      .count();
}

// Stand-in for a target of the users' platform: registers itself in the store,
// checks fencing tokens and holds, and runs requests for a random time. Its
// events tell a test what ran when, and which keys it held.
class Target {
 public:
  Target(asio::io_context& context, const TargetOptions& options)
      : m_context(context),
        m_options(options),
        m_store(context.get_executor(), options.store, 1 << 20),
        m_timer(context),
        m_tick(context),
        m_random(std::hash<std::string>()(options.id)) {
    Tick();
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
      session->Answer(HttpResponse(http::status::ok, 11));
    } else {
      Work(session);
    }
  }

  // Registers the target in the store until the program ends.
  asio::awaitable<void> Report(std::string address) {
    constexpr Milliseconds kInterval{300};
    const std::int64_t born =
        std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    for (std::uint64_t count = 1;; ++count) {
      json::object entry;
      entry["Address"] = address;
      entry["born"] = born;
      entry["Info"] = json::object{{"Service", m_options.service},
                                   {"Version", "v1"},
                                   {"Zone", m_options.zone},
                                   {"Slots", m_options.slots}};
      entry["Status"] = json::object{
          {"State", "ready"}, {"Sequence", count}, {"ColdLeft", "0ms"}};
      HttpClientRequest call;
      call.verb = http::verb::post;
      call.path = "/-/log-append?Topic=keyed.servers&part=0";
      call.body =
          platform::EncodeRecord({m_options.id, json::serialize(entry)});
      co_await m_store.Exchange(std::move(call),
                                steady_clock::now() + Milliseconds(1000));
      m_timer.expires_after(kInterval);
      co_await m_timer.async_wait(asio::use_awaitable);
    }
  }

 private:
  static constexpr Milliseconds kTickInterval{20};
  // A longer gap between two ticks is a time in which the process stood still.
  static constexpr Milliseconds kFreeze{100};

  struct Hold {
    KeyNumber first = 0;
    KeyNumber last = 0;
    FencingToken fencing_token = 0;
    steady_clock::time_point until;
  };

  static std::string Header(const HttpRequest& request, std::string_view name) {
    const auto value = request[{name.data(), name.size()}];
    return {value.data(), value.size()};
  }

  // Notices when the process stood still.
  void Tick() {
    const auto now = steady_clock::now();
    if (m_ticked_at != steady_clock::time_point() &&
        now - m_ticked_at > kFreeze) {
      m_froze_at = m_ticked_at;
      m_thawed_at = now;
    }
    m_ticked_at = now;
    m_tick.expires_after(kTickInterval);
    m_tick.async_wait([this](const auto& error) {
      if (!error) {
        Tick();
      }
    });
  }

  // When the call that is read now arrived, at the earliest: one that is read
  // just after the process stood still may have come at any time in between.
  steady_clock::time_point ArrivalTime() const {
    const auto now = steady_clock::now();
    if (now - m_ticked_at > kFreeze) {
      return m_ticked_at;
    }
    return now - m_thawed_at < kFreeze ? m_froze_at : now;
  }

  void Note(json::object event) {
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
    session->Answer(std::move(response));
  }

  std::string Load() const {
    return std::to_string(m_running) + ",0," + std::to_string(m_options.slots);
  }

  // Takes the keys from first to last out of the holds with a lower token.
  void Drop(KeyNumber first, KeyNumber last, FencingToken fencing_token) {
    std::vector<Hold> rest;
    for (const Hold& hold : m_holds) {
      if (hold.last < first || hold.first > last ||
          hold.fencing_token > fencing_token) {
        rest.push_back(hold);
        continue;
      }
      if (hold.first < first) {
        rest.push_back({hold.first, first - 1, hold.fencing_token, hold.until});
      }
      if (hold.last > last) {
        rest.push_back({last + 1, hold.last, hold.fencing_token, hold.until});
      }
    }
    m_holds = std::move(rest);
  }

  bool WasFenced(KeyNumber first,
                 KeyNumber last,
                 FencingToken fencing_token) const {
    return std::any_of(m_seen.begin(), m_seen.end(), [&](const Hold& seen) {
      return seen.first <= last && seen.last >= first &&
             seen.fencing_token > fencing_token;
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
      session->Answer(HttpResponse(http::status::bad_request, 11));
      return;
    }
    if (WasFenced(first, last, fencing_token)) {
      session->Answer(HttpResponse(http::status::conflict, 11));
      return;
    }
    // The hold counts from the arrival of the call.
    const auto until = ArrivalTime() + hold.value();
    Drop(first, last, fencing_token);
    m_holds.push_back({first, last, fencing_token, until});
    m_seen.push_back({first, last, fencing_token, {}});
    Note({{"event", "grant"},
          {"first", first},
          {"last", last},
          {"fence", fencing_token},
          {"until_ms",
           std::chrono::duration_cast<Milliseconds>(until.time_since_epoch())
               .count()}});
    session->Answer(HttpResponse(http::status::ok, 11));
  }

  void Release(const std::shared_ptr<HttpSession>& session) {
    const json::object body =
        json::parse(session->request().body()).as_object();
    const auto first = body.at("From").to_number<KeyNumber>();
    const auto last = body.at("To").to_number<KeyNumber>();
    const auto fencing_token = body.at("fence").to_number<FencingToken>();
    Drop(first, last, fencing_token);
    m_seen.push_back({first, last, fencing_token, {}});
    Note({{"event", "release"}, {"first", first}, {"last", last}});
    auto timer = std::make_shared<asio::steady_timer>(m_context);
    AnswerRelease(session, timer, first, last);
  }

  // Answers once no request on the keys is running.
  void AnswerRelease(const std::shared_ptr<HttpSession>& session,
                     const std::shared_ptr<asio::steady_timer>& timer,
                     KeyNumber first,
                     KeyNumber last) {
    const auto running = m_running_keys.lower_bound(first);
    if (running == m_running_keys.end() || *running > last) {
      HttpResponse response(http::status::ok, 11);
      response.set("Handover", m_options.id);
      session->Answer(std::move(response));
      return;
    }
    timer->expires_after(Milliseconds(5));
    timer->async_wait([this, session, timer, first, last](const auto&) {
      AnswerRelease(session, timer, first, last);
    });
  }

  bool Holds(KeyNumber key) const {
    const auto now = steady_clock::now();
    return std::any_of(m_holds.begin(), m_holds.end(), [&](const Hold& hold) {
      return hold.first <= key && key <= hold.last && now < hold.until;
    });
  }

  void Work(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const std::string id = Header(request, m_names.request_id);
    const std::string key = Header(request, m_names.key);
    const KeyNumber number =
        static_cast<KeyNumber>(ParseNumber(key).value_or(0));
    if (m_options.keyed && !Holds(number)) {
      Refuse(session, http::status::misdirected_request);
      return;
    }
    if (m_options.refused > 0) {
      --m_options.refused;
      Refuse(session, http::status::service_unavailable);
      return;
    }
    if (m_running >= m_options.slots) {
      Refuse(session, http::status::service_unavailable);
      return;
    }
    ++m_running;
    m_running_keys.insert(number);
    Note({{"event", "begin"},
          {"id", id},
          {"key", m_options.keyed ? static_cast<std::int64_t>(number) : -1},
          {"bytes", request.body().size()}});
    auto timer = std::make_shared<asio::steady_timer>(m_context);
    timer->expires_after(
        Milliseconds(m_random() % (2 * m_options.work_ms + 1)));
    timer->async_wait([this, session, timer, id, number](const auto&) {
      --m_running;
      m_running_keys.erase(m_running_keys.find(number));
      HttpResponse response(http::status::ok, 11);
      response.set(m_names.request_id.data(), id);
      response.set(m_names.signature.data(), "by " + m_options.id);
      response.set(m_names.load.data(), Load());
      response.body() = "answer to " + id;
      session->Answer(std::move(response));
    });
  }

  asio::io_context& m_context;
  TargetOptions m_options;
  HttpConnection m_store;
  asio::steady_timer m_timer;
  asio::steady_timer m_tick;
  steady_clock::time_point m_ticked_at;
  steady_clock::time_point m_froze_at;
  steady_clock::time_point m_thawed_at;
  std::mt19937_64 m_random;
  GatewayHeaderNames m_names = platform::kHeaderNames;
  int m_events = -1;
  std::vector<Hold> m_holds;
  // Every token that was seen, by range.
  std::vector<Hold> m_seen;
  std::uint64_t m_running = 0;
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
       {"refused",
        NumberOption(&options.refused, "first requests that are refused")},
       {"work-ms", NumberOption(&options.work_ms, "mean time of a request")}});
  asio::io_context context(1);
  Target target(context, options);
  // The address is chosen by the caller, since the target registers it.
  Spawn(context.get_executor(), target.Report(server.listen));
  return RunServer(context, server,
                   [&target](const auto& session) { target.Handle(session); });
}

}  // namespace

}  // namespace snipehall::standin

int main(int argc, char** argv) {
  return snipehall::standin::Run(argc, argv);
}
