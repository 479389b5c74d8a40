#include <kj/encoding.h>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "standins/common/http_server.h"
#include "standins/common/outage.h"
#include "standins/common/program.h"
#include "standins/common/test_control.h"

namespace snipehall::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string BigEndian(std::uint64_t value, std::size_t size) {
  std::string bytes(8, '\0');
  boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes.data()),
                               value);
  return bytes.substr(8 - size);
}

// Stand-in for the platform's store: topics of keyed records with one
// partition. An append may be conditional on the topic's end; a read waits for
// a record. Replies can be lost after the append took effect.
class Store {
 public:
  explicit Store(asio::io_context& context)
      : m_context(context), m_expiry(context) {
    ScheduleExpiry();
  }

  void Handle(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const std::string_view path = PathOf(request);
    const bool post = request.method() == http::verb::post;
    if (post && path == "/test/outage") {
      m_outage.Set(session);
    } else if (post && path == "/test/drop_replies") {
      ApplyControl(session, [this](JsonFields& fields) {
        const int count = fields.Count("count");
        return [this, count] { m_drop_replies = count; };
      });
    } else if (post && path == "/test/expire") {
      Expire(session);
    } else if (m_outage.Take(session)) {
      return;
    } else if (post && path == "/-/log-append") {
      Append(session);
    } else if (path == "/-/log-read") {
      Read(session);
    } else if (path == "/-/log-newest") {
      ReadNewest(session);
    } else {
      session->Answer(ErrorAnswer(http::status::not_found, "unknown path"));
    }
  }

 private:
  struct Topic {
    // Offset of the first record that is kept.
    std::uint64_t first = 0;
    std::vector<std::string> records;
    // Newest record of each key, with its offset.
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    // When each key was written last.
    std::map<std::string, steady_clock::time_point> written;

    std::uint64_t end() const { return first + records.size(); }
  };

  struct Waiter {
    std::shared_ptr<HttpSession> session;
    std::string topic;
    std::uint64_t from = 0;
    steady_clock::time_point deadline;
  };

  void Append(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const std::string name(QueryValue(request, "Topic"));
    Topic& topic = m_topics[name];
    const auto at = QueryNumber(request, "At", topic.end());
    if (at != topic.end()) {
      session->Answer(
          JsonAnswer(http::status::precondition_failed,
                     json::serialize(json::object{{"End", topic.end()}})));
      return;
    }
    const std::uint64_t offset = topic.end();
    std::string_view bytes = request.body();
    while (bytes.size() >= 4) {
      const std::size_t size = boost::endian::load_big_u32(
          reinterpret_cast<const unsigned char*>(bytes.data()));
      AddRecord(topic, std::string(bytes.substr(4, size)));
      bytes.remove_prefix(std::min(bytes.size(), 4 + size));
    }
    Wake(name);
    if (m_drop_replies > 0) {
      --m_drop_replies;
      session->Abort();
      return;
    }
    session->Answer(JsonAnswer(
        http::status::ok, json::serialize(json::object{{"Offset", offset},
                                                       {"End", topic.end()}})));
  }

  static void AddRecord(Topic& topic, std::string record) {
    const std::size_t key_size =
        record.empty() ? 0 : static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, key_size);
    const std::string value = record.substr(1 + key_size);
    if (value.empty()) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = {topic.end(), value};
      topic.written[key] = steady_clock::now();
    }
    topic.records.push_back(std::move(record));
  }

  void Read(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    Waiter waiter;
    waiter.session = session;
    waiter.topic = std::string(QueryValue(request, "Topic"));
    waiter.from = QueryNumber(request, "From", 0).value_or(0);
    waiter.deadline =
        steady_clock::now() +
        milliseconds(QueryNumber(request, "WaitMs", 0).value_or(0));
    Topic& topic = m_topics[waiter.topic];
    if (waiter.from < topic.first) {
      session->Answer(
          JsonAnswer(http::status::gone,
                     json::serialize(json::object{{"First", topic.first}})));
      return;
    }
    if (topic.end() > waiter.from || waiter.deadline <= steady_clock::now()) {
      AnswerRead(waiter);
      return;
    }
    const auto position = m_waiters.insert(m_waiters.end(), waiter);
    auto timer = std::make_shared<asio::steady_timer>(m_context);
    timer->expires_at(waiter.deadline);
    timer->async_wait([this, timer, session](const auto&) {
      const auto found = std::find_if(
          m_waiters.begin(), m_waiters.end(),
          [&](const Waiter& item) { return item.session == session; });
      if (found != m_waiters.end()) {
        const Waiter expired = *found;
        m_waiters.erase(found);
        AnswerRead(expired);
      }
    });
    static_cast<void>(position);
  }

  void AnswerRead(const Waiter& waiter) {
    const Topic& topic = m_topics[waiter.topic];
    std::string body = BigEndian(topic.end(), 8) + BigEndian(topic.first, 8);
    for (std::uint64_t i = waiter.from; i < topic.end(); ++i) {
      const std::string& record = topic.records[i - topic.first];
      body += BigEndian(record.size(), 4) + record;
    }
    HttpResponse response(http::status::ok, 11);
    response.body() = std::move(body);
    waiter.session->Answer(std::move(response));
  }

  void Wake(const std::string& topic) {
    std::list<Waiter> ready;
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
      const auto next = std::next(it);
      if (it->topic == topic) {
        ready.splice(ready.end(), m_waiters, it);
      }
      it = next;
    }
    for (const Waiter& waiter : ready) {
      if (m_topics[topic].end() > waiter.from) {
        AnswerRead(waiter);
      } else {
        m_waiters.push_back(waiter);
      }
    }
  }

  void ReadNewest(const std::shared_ptr<HttpSession>& session) {
    const Topic& topic =
        m_topics[std::string(QueryValue(session->request(), "Topic"))];
    json::array items;
    for (const auto& [key, record] : topic.newest) {
      const kj::String value = kj::encodeBase64(kj::ArrayPtr<const kj::byte>(
          reinterpret_cast<const kj::byte*>(record.second.data()),
          record.second.size()));
      items.push_back(json::object{{"Key", key},
                                   {"Value", std::string(value.cStr())},
                                   {"Offset", record.first}});
    }
    session->Answer(
        JsonAnswer(http::status::ok,
                   json::serialize(json::object{{"items", std::move(items)},
                                                {"HasMore", false},
                                                {"End", topic.end()}})));
  }

  // Removes targets that have not reported for three of their intervals.
  void ScheduleExpiry() {
    m_expiry.expires_after(kTargetLifetime / 3);
    m_expiry.async_wait([this](const auto& error) {
      if (error) {
        return;
      }
      Topic& topic = m_topics[kTargetTopic];
      const auto oldest = steady_clock::now() - kTargetLifetime;
      std::vector<std::string> silent;
      for (const auto& [key, record] : topic.newest) {
        if (topic.written[key] < oldest) {
          silent.push_back(key);
        }
      }
      for (const std::string& key : silent) {
        AddRecord(topic, std::string(1, static_cast<char>(key.size())) + key);
      }
      Wake(kTargetTopic);
      ScheduleExpiry();
    });
  }

  // Drops all records but the newest of each key.
  void Expire(const std::shared_ptr<HttpSession>& session) {
    for (auto& [name, topic] : m_topics) {
      topic.first = topic.end();
      topic.records.clear();
    }
    session->Answer(JsonAnswer(http::status::ok, "{}"));
  }

  static constexpr const char* kTargetTopic = "keyed.servers";
  static constexpr milliseconds kTargetLifetime{900};

  asio::io_context& m_context;
  asio::steady_timer m_expiry;
  std::map<std::string, Topic> m_topics;
  std::list<Waiter> m_waiters;
  Outage m_outage;
  int m_drop_replies = 0;
};

int Run(int argc, char** argv) {
  HttpServer::Options server;
  ParseOptions(argc, argv,
               {{"listen", TextOption(&server.listen, "address:port")}});
  asio::io_context context(1);
  Store store(context);
  return RunServer(context, server,
                   [&store](const auto& session) { store.Handle(session); });
}

}  // namespace

}  // namespace snipehall::standin

int main(int argc, char** argv) {
  return snipehall::standin::Run(argc, argv);
}
