#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "protocol/record_codec.h"
#include "transport/admin/admin_server.h"
#include "transport/tcp_endpoint.h"

namespace snipehall::testing {

// Fake of the control service. Applies submitted records immediately and calls
// the submit callback on another thread.
class FakeControl {
 public:
  // What Submit() does: applies the record, fails with kBusy, or never calls
  // the callback.
  enum class Mode { kApply, kBusy, kNeverCallBack };

  ~FakeControl() {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  AdminBackend backend() {
    return {[this] { return Status(); },
            [this](const Record& record, MonotonicTime,
                   ControlService::SubmitCallback callback) {
              Submit(record, std::move(callback));
            },
            [this] { return ready.load(); }};
  }

  // Applies a record as if another instance had appended it to the log.
  SubmitOutcome Append(const Record& record) {
    const std::lock_guard lock(m_mutex);
    const ConfigurationEntry* entry = m_state.configuration();
    const LogOffset current = entry ? entry->offset : 0;
    const LogOffset offset = m_state.offset() + 1;
    return {m_state.Apply(offset, record), offset, current};
  }

  // Appends a configuration record that replaces the current document. Returns
  // its offset.
  LogOffset Publish(const Configuration& configuration) {
    const auto status = Status();
    const ConfigurationEntry* entry = status->state.configuration();
    return Append({"", "setup", entry ? entry->offset : 0,
                   ConfigurationRecord{configuration, "first", 0}})
        .offset;
  }

  std::shared_ptr<const ControlStatus> Status() const {
    const std::lock_guard lock(m_mutex);
    auto status = std::make_shared<ControlStatus>();
    status->instance = "entry-1";
    status->zone = "a";
    status->state = m_state;
    status->instances = m_instances;
    return status;
  }

  void SetInstances(std::vector<PlatformInstance> instances) {
    const std::lock_guard lock(m_mutex);
    m_instances = std::move(instances);
  }

  std::atomic<Mode> mode{Mode::kApply};
  std::atomic<bool> ready{false};

 private:
  void Submit(const Record& record, ControlService::SubmitCallback callback) {
    if (mode == Mode::kNeverCallBack) {
      m_pending_callbacks.push_back(std::move(callback));
      return;
    }
    Result<SubmitOutcome> outcome =
        Fail(ErrorCode::kBusy, "too many pending submissions");
    if (mode == Mode::kApply) {
      outcome = Append(record);
    }
    m_threads.emplace_back(
        [callback = std::move(callback), outcome] { callback(outcome); });
  }

  mutable std::mutex m_mutex;
  ClusterState m_state;
  std::vector<PlatformInstance> m_instances;
  std::vector<std::thread> m_threads;
  std::vector<ControlService::SubmitCallback> m_pending_callbacks;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

// A received HTTP response.
struct HttpResponse {
  unsigned status = 0;
  std::string body;
  boost::beast::http::fields fields;

  boost::json::value json() const { return boost::json::parse(body); }
};

// A blocking HTTP client with one persistent connection.
class HttpClient {
 public:
  explicit HttpClient(const std::string& address) : m_stream(m_context) {
    m_stream.connect(ParseTcpEndpoint(address).value());
  }

  HttpResponse Call(boost::beast::http::verb verb,
                    const std::string& target,
                    const std::string& body = "",
                    const Headers& headers = {}) {
    namespace http = boost::beast::http;
    http::request<http::string_body> request(verb, target, 11);
    request.set(http::field::host, "127.0.0.1");
    for (const auto& [name, value] : headers) {
      request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    http::write(m_stream, request);
    return Read();
  }

  HttpResponse Get(const std::string& target, const Headers& headers = {}) {
    return Call(boost::beast::http::verb::get, target, "", headers);
  }

  HttpResponse Post(const std::string& target,
                    const boost::json::value& body,
                    Headers headers = {}) {
    headers.emplace_back("Content-Type", "application/json");
    return Call(boost::beast::http::verb::post, target,
                boost::json::serialize(body), headers);
  }

  HttpResponse Read() {
    namespace http = boost::beast::http;
    http::response_parser<http::string_body> parser;
    parser.body_limit(16777216);
    http::read(m_stream, m_buffer, parser);
    const auto response = parser.release();
    return {response.result_int(), response.body(), response.base()};
  }

  boost::asio::ip::tcp::socket& socket() { return m_stream.socket(); }

 private:
  boost::asio::io_context m_context;
  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
};

// An administration server on a loopback port, backed by a fake control
// service.
class AdminFixture {
 public:
  explicit AdminFixture(const std::string& token = "",
                        Milliseconds client_timeout = Milliseconds(15000)) {
    AdminServer::Options options;
    options.address = "127.0.0.1:0";
    options.token = token;
    options.backend = control.backend();
    options.registry = std::make_shared<prometheus::Registry>();
    options.client_timeout = client_timeout;
    server = AdminServer::Start(std::move(options)).value();
  }

  HttpClient Connect() const { return HttpClient(server->address()); }

  FakeControl control;
  std::unique_ptr<AdminServer> server;
};

// Returns a configuration document with one keyed service and two zones.
inline boost::json::object MakeDocument() {
  return boost::json::parse(R"({
    "zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
    "services": [{"name": "gearshelf", "keyed": true, "slots_per_endpoint": 3,
                  "default_class": "lookup",
                  "classes": [{"name": "lookup"}]}]})")
      .as_object();
}

// Returns the configuration of MakeDocument().
inline Configuration MakeConfiguration() {
  Configuration configuration;
  ParseConfiguration(boost::json::serialize(MakeDocument()), configuration);
  return configuration;
}

}  // namespace snipehall::testing
