#pragma once

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "transport/data_service.h"
#include "unit/support/fake_target.h"

namespace snipehall::test {

// An HTTP response as a caller received it.
struct Response {
  int status = 0;
  std::string head;
  std::string body;
  // Whether the body ended as the response head announced.
  bool complete = false;

  // Returns the value of a header, or "" without it.
  std::string Header(const std::string& name) const {
    return HeaderOf(head, name);
  }
};

// Reads one response, delimited by Content-Length or by chunked encoding.
inline Response ReadResponse(RawSocket& caller) {
  Response response;
  response.head = caller.ReadThrough("\r\n\r\n");
  if (!response.head.ends_with("\r\n\r\n") || response.head.size() < 12) {
    return response;
  }
  response.status = std::atoi(response.head.substr(9, 3).c_str());
  if (response.Header("Transfer-Encoding") == "chunked") {
    for (;;) {
      const std::string line = caller.ReadThrough("\r\n");
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      const std::string chunk = caller.ReadExactly(size + 2);
      if (line.empty() || chunk.size() < size + 2) {
        response.body += chunk;
        return response;
      }
      response.body += chunk.substr(0, size);
      if (size == 0) {
        response.complete = true;
        return response;
      }
    }
  }
  const std::size_t size =
      std::strtoul(response.Header("Content-Length").c_str(), nullptr, 10);
  response.body = caller.ReadExactly(size);
  response.complete = response.body.size() == size;
  return response;
}

// Polls `condition` until it holds. Returns false when it does not hold within
// 10 s.
inline bool Eventually(const std::function<bool()>& condition) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

// A DataService whose routing table the test sets. Fill `table` and `limits`,
// then call Start().
class DataFixture {
 public:
  DataFixture() : m_table(std::make_shared<RoutingTable>()) {
    table.offset = 1;
    table.ready = true;
  }

  // Adds a service with one class, 8 slots per target and targets "<name>-0",
  // "<name>-1", ... at the addresses.
  ServiceRoutes& AddService(const std::string& name,
                            const std::vector<std::string>& addresses) {
    ServiceRoutes routes;
    routes.config.name = name;
    routes.config.slots_per_endpoint = 8;
    routes.config.default_class = "lookup";
    routes.config.classes.push_back({"lookup", Milliseconds(5000)});
    for (const std::string& address : addresses) {
      routes.targets.push_back(
          {name + "-" + std::to_string(routes.targets.size()), "z", address});
    }
    return table.services[name] = std::move(routes);
  }

  // Makes the service keyed, with one range owned by the target with the index
  // `owner`.
  static void MakeKeyed(ServiceRoutes& routes,
                        std::uint32_t owner,
                        LogOffset token) {
    routes.config.keyed = true;
    routes.ranges = {{HashRange{}, token, owner}};
  }

  // Publishes a copy of `table` to the running service.
  void Publish() { m_table.Store(std::make_shared<RoutingTable>(table)); }

  // Publishes the table and starts the service on a free port.
  void Start() {
    Publish();
    Settings settings;
    settings.instance = "e1";
    settings.zone = "z";
    settings.caller_address = "127.0.0.1:0";
    registry = std::make_shared<prometheus::Registry>();
    service = DataService::Start(settings,
                                 {&m_table, &confirmed_until, registry, limits})
                  .value();
  }

  RawSocket Connect() const {
    return RawSocket::Connect(service->caller_address());
  }

  // Sends `text` on a new connection and reads one response.
  Response Call(const std::string& text) const {
    RawSocket caller = Connect();
    caller.Send(text);
    return ReadResponse(caller);
  }

  // Copied by Publish(), so that the running service does not see later edits.
  RoutingTable table;
  CallerLimits limits;
  // See DataService::Inputs::confirmed_until; by default nothing is confirmed.
  std::atomic<MonotonicTime::rep> confirmed_until = 0;
  std::shared_ptr<prometheus::Registry> registry;

 private:
  AtomicSharedPtr<RoutingTable> m_table;

 public:
  // Declared last, so that it is destroyed before the objects that it uses.
  std::unique_ptr<DataService> service;
};

// Returns a GET request for `path` with extra header lines, each ended by CRLF.
inline std::string FormatGet(const std::string& path,
                             const std::string& lines = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n";
}

// Returns a POST request with a body and extra header lines, each ended by
// CRLF.
inline std::string FormatPost(const std::string& path,
                              const std::string& body,
                              const std::string& lines = "") {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + lines +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace snipehall::test
