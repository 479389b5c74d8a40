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

struct Answer {
  int status = 0;
  std::string head;
  std::string body;
  // The message ended as it announced.
  bool whole = false;

  std::string Header(const std::string& name) const {
    return HeaderOf(head, name);
  }
};

// Reads one answer with a Content-Length or in chunks.
inline Answer ReadAnswer(RawSocket& caller) {
  Answer answer;
  answer.head = caller.ReadThrough("\r\n\r\n");
  if (!answer.head.ends_with("\r\n\r\n") || answer.head.size() < 12) {
    return answer;
  }
  answer.status = std::atoi(answer.head.substr(9, 3).c_str());
  if (answer.Header("Transfer-Encoding") == "chunked") {
    for (;;) {
      const std::string line = caller.ReadThrough("\r\n");
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      const std::string chunk = caller.ReadExactly(size + 2);
      if (line.empty() || chunk.size() < size + 2) {
        answer.body += chunk;
        return answer;
      }
      answer.body += chunk.substr(0, size);
      if (size == 0) {
        answer.whole = true;
        return answer;
      }
    }
  }
  const std::size_t size =
      std::strtoul(answer.Header("Content-Length").c_str(), nullptr, 10);
  answer.body = caller.ReadExactly(size);
  answer.whole = answer.body.size() == size;
  return answer;
}

// Polls `condition` until it holds; false when it does not within 10 s.
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

// A DataService with a routing table that the test publishes.
class DataFixture {
 public:
  DataFixture() : m_table(std::make_shared<RoutingTable>()) {
    table.offset = 1;
    table.ready = true;
  }

  // Adds a service with one class and targets "<name>-0", "<name>-1", ...
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

  // Makes the service keyed, with one range owned by target `owner`.
  static void MakeKeyed(ServiceRoutes& routes,
                        std::uint32_t owner,
                        LogOffset token) {
    routes.config.keyed = true;
    routes.ranges = {{HashRange{}, token, owner}};
  }

  void Publish() { m_table.Store(std::make_shared<RoutingTable>(table)); }

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

  // Sends `text` on a new connection and reads one answer.
  Answer Call(const std::string& text) const {
    RawSocket caller = Connect();
    caller.Send(text);
    return ReadAnswer(caller);
  }

  RoutingTable table;
  CallerLimits limits;
  std::atomic<MonotonicTime::rep> confirmed_until = 0;
  std::shared_ptr<prometheus::Registry> registry;

 private:
  AtomicSharedPtr<RoutingTable> m_table;

 public:
  std::unique_ptr<DataService> service;
};

// A GET request for `path` with extra header lines, each ended by CRLF.
inline std::string Get(const std::string& path, const std::string& lines = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n";
}

// A POST request with a body and extra header lines.
inline std::string Post(const std::string& path,
                        const std::string& body,
                        const std::string& lines = "") {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + lines +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace snipehall::test
