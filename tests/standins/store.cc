#include <kj/encoding.h>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
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

// Encodes the low `size` bytes of a number in big-endian order.
std::string BigEndian(std::uint64_t value, std::size_t size) {
  std::string bytes(8, '\0');
  boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes.data()),
                               value);
  return bytes.substr(8 - size);
}

// Stand-in for the platform's store: topics of keyed records with one partition
// each. An append may be conditional on the topic's end offset, and a read can
// wait for a new record. Responses to appends can be dropped after the append
// took effect. The store can be restored from an older copy, which loses the
// records that instances have appended since; the operator and the targets
// append theirs again. All responses have the number of restores.
class Store {
 public:
  explicit Store(asio::io_context& context)
      : m_context(context), m_expiry_timer(context) {
    ScheduleExpiry();
  }

  void Handle(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const std::string_view path = PathOf(request);
    const bool post = request.method() == http::verb::post;
    if (post && path == "/test/outage") {
      m_outage.HandleControl(session);
    } else if (post && path == "/test/drop_replies") {
      ApplyControl(session, [this](JsonFields& fields) {
        const int count = fields.Count("count");
        return [this, count] { m_replies_to_drop = count; };
      });
    } else if (post && path == "/test/expire") {
      DiscardOldRecords(session);
    } else if (post && path == "/test/copy") {
      m_copy = m_topics;
      Answer(session, JsonAnswer(http::status::ok, "{}"));
    } else if (post && path == "/test/restore") {
      Restore(session);
    } else if (post && path == "/test/view") {
      SetView(session);
    } else if (m_outage.Intercept(session)) {
      return;
    } else if (post && path == "/-/log-append") {
      Append(session);
    } else if (path == "/-/log-read") {
      Read(session);
    } else if (path == "/-/log-newest") {
      ReadNewest(session);
    } else {
      Answer(session, ErrorAnswer(http::status::not_found, "unknown path"));
    }
  }

 private:
  struct Topic {
    // Offset of the oldest record that is still stored.
    std::uint64_t first_offset = 0;
    std::vector<std::string> records;
    // Offset and value of the newest record of each key.
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest_by_key;
    // Time of the last write to each key.
    std::map<std::string, steady_clock::time_point> write_times;

    std::uint64_t end() const { return first_offset + records.size(); }
  };
  using Topics = std::map<std::string, Topic>;

  // Read request that waits for a new record until a deadline.
  struct PendingRead {
    std::shared_ptr<HttpSession> session;
    std::string topic;
    std::uint64_t from = 0;
    // Maximum size of the response; it has one record at least.
    std::size_t max_bytes = 0;
    steady_clock::time_point deadline;
  };

  // Sends a response with the era of the store.
  void Answer(const std::shared_ptr<HttpSession>& session,
              HttpResponse response) const {
    response.set(kEraHeader, std::to_string(m_era));
    session->Answer(std::move(response));
  }

  // Replaces all topics by their copies. Pending reads are aborted.
  void Restore(const std::shared_ptr<HttpSession>& session) {
    ++m_era;
    Topics lost = std::exchange(m_topics, m_copy);
    for (const char* name : {kOperatorTopic, kTargetTopic}) {
      for (const auto& [key, record] : lost[name].newest_by_key) {
        AddRecord(m_topics[name], std::string(1, static_cast<char>(key.size()))
                                      .append(key)
                                      .append(record.second));
      }
    }
    for (const PendingRead& pending_read : std::exchange(m_pending_reads, {})) {
      pending_read.session->Abort();
    }
    Answer(session, JsonAnswer(http::status::ok, "{}"));
  }

  // Makes clients that send the header Host with `host` see the targets at
  // other addresses. Body: {"host": ..., "addresses": {address: other
  // address}}.
  void SetView(const std::shared_ptr<HttpSession>& session) {
    boost::system::error_code error;
    const json::value body = json::parse(session->request().body(), error);
    if (error || !body.is_object()) {
      Answer(session, ErrorAnswer(http::status::bad_request, "not an object"));
      return;
    }
    auto& view = m_views[std::string(body.at("host").as_string())];
    for (const auto& [address, other] : body.at("addresses").as_object()) {
      view[std::string(address)] = std::string(other.as_string());
    }
    Answer(session, JsonAnswer(http::status::ok, "{}"));
  }

  // Returns a record of `topic`, or its value, as the client sees it.
  std::string Show(const HttpRequest& request,
                   const std::string& topic,
                   std::string record) const {
    const auto view = m_views.find(std::string(request[http::field::host]));
    if (topic != kTargetTopic || view == m_views.end()) {
      return record;
    }
    for (const auto& [address, other] : view->second) {
      const std::string quoted = '"' + address + '"';
      if (const auto at = record.find(quoted); at != std::string::npos) {
        record.replace(at, quoted.size(), '"' + other + '"');
        break;
      }
    }
    return record;
  }

  // Appends the records of the body, each with a 4-byte big-endian length
  // prefix. Refuses them if `At` is given and is not the end offset of the
  // topic.
  void Append(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const std::string name(QueryValue(request, "Topic"));
    Topic& topic = m_topics[name];
    const auto at = QueryNumber(request, "At", topic.end());
    if (at != topic.end()) {
      Answer(session,
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
    CompletePendingReads(name);
    if (m_replies_to_drop > 0) {
      --m_replies_to_drop;
      session->Abort();
      return;
    }
    Answer(session, JsonAnswer(http::status::ok,
                               json::serialize(json::object{
                                   {"Offset", offset}, {"End", topic.end()}})));
  }

  // Appends a record and updates the newest record of its key. A record without
  // a value deletes the key.
  static void AddRecord(Topic& topic, std::string record) {
    const std::size_t key_size =
        record.empty() ? 0 : static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, key_size);
    const std::string value = record.substr(1 + key_size);
    if (value.empty()) {
      topic.newest_by_key.erase(key);
    } else {
      topic.newest_by_key[key] = {topic.end(), value};
      topic.write_times[key] = steady_clock::now();
    }
    topic.records.push_back(std::move(record));
  }

  void Read(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    PendingRead pending_read;
    pending_read.session = session;
    pending_read.topic = std::string(QueryValue(request, "Topic"));
    pending_read.from = QueryNumber(request, "From", 0).value_or(0);
    pending_read.max_bytes = static_cast<std::size_t>(
        QueryNumber(request, "MaxKb", kDefaultMaxKb).value_or(kDefaultMaxKb)
        << 10);
    pending_read.deadline =
        steady_clock::now() +
        milliseconds(QueryNumber(request, "WaitMs", 0).value_or(0));
    Topic& topic = m_topics[pending_read.topic];
    if (pending_read.from < topic.first_offset ||
        pending_read.from > topic.end()) {
      Answer(session,
             JsonAnswer(
                 http::status::gone,
                 json::serialize(json::object{{"First", topic.first_offset}})));
      return;
    }
    if (topic.end() > pending_read.from ||
        pending_read.deadline <= steady_clock::now()) {
      AnswerRead(pending_read);
      return;
    }
    const auto position =
        m_pending_reads.insert(m_pending_reads.end(), pending_read);
    auto timer = std::make_shared<asio::steady_timer>(m_context);
    timer->expires_at(pending_read.deadline);
    timer->async_wait([this, timer, session](const auto&) {
      const auto found = std::find_if(
          m_pending_reads.begin(), m_pending_reads.end(),
          [&](const PendingRead& item) { return item.session == session; });
      if (found != m_pending_reads.end()) {
        const PendingRead expired = *found;
        m_pending_reads.erase(found);
        AnswerRead(expired);
      }
    });
    static_cast<void>(position);
  }

  void AnswerRead(const PendingRead& pending_read) {
    const Topic& topic = m_topics[pending_read.topic];
    std::string body =
        BigEndian(topic.end(), 8) + BigEndian(topic.first_offset, 8);
    for (std::uint64_t i = pending_read.from; i < topic.end(); ++i) {
      const std::string record =
          Show(pending_read.session->request(), pending_read.topic,
               topic.records[i - topic.first_offset]);
      if (i > pending_read.from &&
          body.size() + record.size() > pending_read.max_bytes) {
        break;
      }
      body += BigEndian(record.size(), 4) + record;
    }
    HttpResponse response(http::status::ok, 11);
    response.body() = std::move(body);
    Answer(pending_read.session, std::move(response));
  }

  // Answers the pending reads of a topic for which a record is available.
  void CompletePendingReads(const std::string& topic) {
    std::list<PendingRead> ready;
    for (auto it = m_pending_reads.begin(); it != m_pending_reads.end();) {
      const auto next = std::next(it);
      if (it->topic == topic) {
        ready.splice(ready.end(), m_pending_reads, it);
      }
      it = next;
    }
    for (const PendingRead& pending_read : ready) {
      if (m_topics[topic].end() > pending_read.from) {
        AnswerRead(pending_read);
      } else {
        m_pending_reads.push_back(pending_read);
      }
    }
  }

  void ReadNewest(const std::shared_ptr<HttpSession>& session) {
    const std::string name(QueryValue(session->request(), "Topic"));
    const Topic& topic = m_topics[name];
    json::array items;
    for (const auto& [key, record] : topic.newest_by_key) {
      const std::string shown = Show(session->request(), name, record.second);
      const kj::String value = kj::encodeBase64(kj::ArrayPtr<const kj::byte>(
          reinterpret_cast<const kj::byte*>(shown.data()), shown.size()));
      items.push_back(json::object{{"Key", key},
                                   {"Value", std::string(value.cStr())},
                                   {"Offset", record.first}});
    }
    Answer(session,
           JsonAnswer(http::status::ok,
                      json::serialize(json::object{{"items", std::move(items)},
                                                   {"HasMore", false},
                                                   {"End", topic.end()}})));
  }

  // Periodically removes targets whose last registration is older than three
  // registration intervals.
  void ScheduleExpiry() {
    m_expiry_timer.expires_after(kTargetLifetime / 3);
    m_expiry_timer.async_wait([this](const auto& error) {
      if (error) {
        return;
      }
      Topic& topic = m_topics[kTargetTopic];
      const auto expiry_time = steady_clock::now() - kTargetLifetime;
      std::vector<std::string> expired_keys;
      for (const auto& [key, record] : topic.newest_by_key) {
        if (topic.write_times[key] < expiry_time) {
          expired_keys.push_back(key);
        }
      }
      for (const std::string& key : expired_keys) {
        AddRecord(topic, std::string(1, static_cast<char>(key.size())) + key);
      }
      CompletePendingReads(kTargetTopic);
      ScheduleExpiry();
    });
  }

  // Discards all stored records except the newest record of each key.
  void DiscardOldRecords(const std::shared_ptr<HttpSession>& session) {
    for (auto& [name, topic] : m_topics) {
      topic.first_offset = topic.end();
      topic.records.clear();
    }
    Answer(session, JsonAnswer(http::status::ok, "{}"));
  }

  static constexpr const char* kOperatorTopic = "keyed.op";
  static constexpr const char* kTargetTopic = "keyed.servers";
  // Header with the era: one more after each restore.
  static constexpr const char* kEraHeader = "Store-Era";
  // Maximum size of the response to a read that names none, KiB.
  static constexpr std::uint64_t kDefaultMaxKb = 1024;
  // Three registration intervals of the keyed target stand-in.
  static constexpr milliseconds kTargetLifetime{900};

  asio::io_context& m_context;
  asio::steady_timer m_expiry_timer;
  Topics m_topics;
  // The copy for the next restore.
  Topics m_copy;
  std::uint64_t m_era = 1;
  // Addresses of targets as the clients see them, by the Host header.
  std::map<std::string, std::map<std::string, std::string>> m_views;
  std::list<PendingRead> m_pending_reads;
  Outage m_outage;
  // Number of following appends whose responses are dropped.
  int m_replies_to_drop = 0;
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
