// Compares the latency of small requests sent directly to a target with the
// same requests sent through DataService, at the same open-loop rate in one
// run. Prints one line of JSON. Latency is measured from the intended start of
// a request, to avoid coordinated omission when a path stalls.
//
// Usage: forward_bench [RATE_PER_S [CONNECTIONS [SECONDS]]]

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "transport/data_service.h"

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::string_view kRequest =
    "GET /bench/item HTTP/1.1\r\nHost: bench\r\nSnipehall-Tenant: shop\r\n"
    "User-Agent: forward-bench\r\nAccept: */*\r\n\r\n";
constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n"
    "0123456789012345678901234567890123456789012345678901234567890123";

double ThreadCpuSeconds() {
  timespec time = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         1e-9 * static_cast<double>(time.tv_nsec);
}

double ProcessCpuSeconds() {
  timespec time = {};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         1e-9 * static_cast<double>(time.tv_nsec);
}

sockaddr_in Loopback(int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void AddToEpoll(int epoll, int fd) {
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.fd = fd;
  epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
}

// HTTP server on its own thread that answers every request with the same bytes.
class BenchTarget {
 public:
  BenchTarget() : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof address;
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(m_listener, 1024) != 0) {
      std::perror("cannot listen");
      std::exit(1);
    }
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { Run(); });
  }
  ~BenchTarget() {
    m_stop = true;
    m_thread.join();
    close(m_listener);
  }
  BenchTarget(const BenchTarget&) = delete;
  BenchTarget& operator=(const BenchTarget&) = delete;

  int port() const { return m_port; }
  double cpu_seconds() const { return m_cpu_seconds; }

 private:
  void Run() {
    const int epoll = epoll_create1(0);
    AddToEpoll(epoll, m_listener);
    std::array<epoll_event, 128> events;
    while (!m_stop) {
      const int count = epoll_wait(epoll, events.data(), events.size(), 10);
      for (int i = 0; i < count; ++i) {
        const int fd = events[static_cast<std::size_t>(i)].data.fd;
        if (fd == m_listener) {
          const int accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK);
          if (accepted >= 0) {
            SetNoDelay(accepted);
            AddToEpoll(epoll, accepted);
          }
        } else if (!Serve(fd)) {
          m_input_buffers.erase(fd);
          close(fd);
        }
      }
      m_cpu_seconds = ThreadCpuSeconds();
    }
    close(epoll);
  }

  bool Serve(int fd) {
    std::array<char, 16384> buffer;
    const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return false;
    }
    std::string& input = m_input_buffers[fd];
    input.append(buffer.data(), static_cast<std::size_t>(size));
    std::size_t end = 0;
    while ((end = input.find("\r\n\r\n")) != std::string::npos) {
      input.erase(0, end + 4);
      if (send(fd, kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL) <= 0) {
        return false;
      }
    }
    return true;
  }

  int m_listener;
  int m_port = 0;
  std::atomic<bool> m_stop = false;
  std::atomic<double> m_cpu_seconds = 0;
  std::map<int, std::string> m_input_buffers;
  std::thread m_thread;
};

// HTTP client that sends requests over a fixed number of connections, one
// request at a time on each.
class LoadGenerator {
 public:
  LoadGenerator(int port, int connections) : m_epoll(epoll_create1(0)) {
    const sockaddr_in address = Loopback(port);
    for (int i = 0; i < connections; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        std::perror("cannot connect");
        std::exit(1);
      }
      SetNoDelay(fd);
      AddToEpoll(m_epoll, fd);
      m_idle.push_back(fd);
      m_connections.push_back(fd);
    }
  }
  ~LoadGenerator() {
    for (const int fd : m_connections) {
      close(fd);
    }
    close(m_epoll);
  }
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Sends `rate` requests per second for `time` and waits for all answers.
  // Appends the latencies in microseconds and returns the answers per second.
  double RunOpenLoop(double rate,
                     Clock::duration time,
                     std::vector<double>& latencies) {
    const Clock::time_point start = Clock::now();
    const auto total = static_cast<std::size_t>(
        rate * std::chrono::duration<double>(time).count());
    std::size_t sent = 0;
    std::size_t answered = 0;
    while (answered < total) {
      const Clock::time_point now = Clock::now();
      while (sent < total && !m_idle.empty() &&
             IntendedTime(start, rate, sent) <= now) {
        Send(IntendedTime(start, rate, sent++));
      }
      answered += Receive(0, &latencies);
    }
    return static_cast<double>(total) /
           std::chrono::duration<double>(Clock::now() - start).count();
  }

  // Sends requests back to back on every connection for `time`. Returns the
  // answers per second.
  double RunClosedLoop(Clock::duration time) {
    const Clock::time_point start = Clock::now();
    std::size_t answered = 0;
    Clock::time_point now = start;
    while (now < start + time) {
      while (!m_idle.empty()) {
        Send(now);
      }
      answered += Receive(1, nullptr);
      now = Clock::now();
    }
    const double rps = static_cast<double>(answered) /
                       std::chrono::duration<double>(now - start).count();
    while (m_idle.size() < m_connections.size()) {
      Receive(1, nullptr);
    }
    return rps;
  }

 private:
  static Clock::time_point IntendedTime(Clock::time_point start,
                                        double rate,
                                        std::size_t index) {
    return start + std::chrono::duration_cast<Clock::duration>(
                       std::chrono::duration<double>(
                           static_cast<double>(index) / rate));
  }

  void Send(Clock::time_point intended) {
    const int fd = m_idle.front();
    m_idle.pop_front();
    m_intended[fd] = intended;
    if (send(fd, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) <= 0) {
      std::perror("cannot send");
      std::exit(1);
    }
  }

  std::size_t Receive(int timeout_ms, std::vector<double>* latencies) {
    std::array<epoll_event, 128> events;
    const int count =
        epoll_wait(m_epoll, events.data(), events.size(), timeout_ms);
    const Clock::time_point now = Clock::now();
    std::size_t answered = 0;
    for (int i = 0; i < count; ++i) {
      const int fd = events[static_cast<std::size_t>(i)].data.fd;
      std::array<char, 4096> buffer;
      const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
      if (size <= 0 || std::string_view(buffer.data(), 12) == "HTTP/1.1 503") {
        std::cerr << "request failed: connection closed or status 503\n";
        std::exit(1);
      }
      const std::string_view text(buffer.data(),
                                  static_cast<std::size_t>(size));
      // The answer is complete when the end of its 64-byte body, which ends in
      // "0123", has been received.
      if (!text.ends_with("90123")) {
        continue;
      }
      if (latencies != nullptr) {
        latencies->push_back(
            std::chrono::duration<double, std::micro>(now - m_intended[fd])
                .count());
      }
      m_idle.push_back(fd);
      ++answered;
    }
    return answered;
  }

  int m_epoll;
  std::vector<int> m_connections;
  std::deque<int> m_idle;
  std::map<int, Clock::time_point> m_intended;
};

double Quantile(std::vector<double>& values, double fraction) {
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

snipehall::RoutingTable MakeTable(int target_port) {
  snipehall::ServiceRoutes routes;
  routes.config.name = "bench";
  routes.config.slots_per_endpoint = 1024;
  routes.config.connections_per_endpoint = 1024;
  routes.config.default_class = "lookup";
  routes.config.classes.push_back({"lookup", snipehall::Milliseconds(10000)});
  routes.targets.push_back(
      {"t0", "z", "127.0.0.1:" + std::to_string(target_port)});
  snipehall::RoutingTable table;
  table.offset = 1;
  table.ready = true;
  table.services["bench"] = std::move(routes);
  return table;
}

}  // namespace

int main(int argc, char** argv) {
  const double rate = argc > 1 ? std::atof(argv[1]) : 20000;
  const int connections = argc > 2 ? std::atoi(argv[2]) : 64;
  const int seconds = argc > 3 ? std::atoi(argv[3]) : 5;

  BenchTarget target;
  snipehall::AtomicSharedPtr<snipehall::RoutingTable> table(
      std::make_shared<snipehall::RoutingTable>(MakeTable(target.port())));
  std::atomic<snipehall::MonotonicTime::rep> confirmed_until = 0;
  snipehall::Settings settings;
  settings.zone = "z";
  settings.caller_address = "127.0.0.1:0";
  auto service = snipehall::DataService::Start(
                     settings, {&table, &confirmed_until,
                                std::make_shared<prometheus::Registry>()})
                     .value();
  const std::string address = service->caller_address();
  const int service_port =
      std::atoi(address.substr(address.rfind(':') + 1).c_str());

  LoadGenerator direct(target.port(), connections);
  LoadGenerator forwarding(service_port, connections);
  std::vector<double> direct_us;
  std::vector<double> through_us;
  // Warms up connections, buffers and branch predictors.
  direct.RunClosedLoop(std::chrono::milliseconds(200));
  forwarding.RunClosedLoop(std::chrono::milliseconds(500));

  // Alternates between the two paths, so that interference from other processes
  // affects both.
  double direct_rps = 0;
  double through_rps = 0;
  for (int i = 0; i < seconds; ++i) {
    direct_rps += direct.RunOpenLoop(rate, std::chrono::seconds(1), direct_us);
    through_rps +=
        forwarding.RunOpenLoop(rate, std::chrono::seconds(1), through_us);
  }

  const double process_before = ProcessCpuSeconds();
  const double others_before = ThreadCpuSeconds() + target.cpu_seconds();
  const Clock::time_point before = Clock::now();
  const double closed_rps =
      forwarding.RunClosedLoop(std::chrono::seconds(seconds));
  const double wall_seconds =
      std::chrono::duration<double>(Clock::now() - before).count();
  const double data_cpu =
      ProcessCpuSeconds() - process_before -
      (ThreadCpuSeconds() + target.cpu_seconds() - others_before);

  std::printf(
      "{\"rate\": %.0f, \"connections\": %d, \"seconds\": %d, "
      "\"direct\": {\"rps\": %.0f, \"median_us\": %.0f, \"p99_us\": %.0f}, "
      "\"through\": {\"rps\": %.0f, \"median_us\": %.0f, \"p99_us\": %.0f}, "
      "\"ratio\": {\"median\": %.2f, \"p99\": %.2f}, "
      "\"closed_loop\": {\"rps\": %.0f, \"data_thread_cores\": %.2f, "
      "\"rps_per_core\": %.0f}}\n",
      rate, connections, seconds, direct_rps / seconds,
      Quantile(direct_us, 0.5), Quantile(direct_us, 0.99),
      through_rps / seconds, Quantile(through_us, 0.5),
      Quantile(through_us, 0.99),
      Quantile(through_us, 0.5) / Quantile(direct_us, 0.5),
      Quantile(through_us, 0.99) / Quantile(direct_us, 0.99), closed_rps,
      data_cpu / wall_seconds, closed_rps * wall_seconds / data_cpu);
  return 0;
}
