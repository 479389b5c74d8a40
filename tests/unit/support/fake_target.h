#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "unit/support/raw_socket.h"

namespace snipehall::test {

inline constexpr std::string_view kOkAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
inline constexpr std::string_view kNotRunAnswer =
    "HTTP/1.1 409 Conflict\r\nSnipehall-Verdict: not-run\r\n"
    "Content-Length: 0\r\n\r\n";

// Returns the value of a header field in the head of a message, or an empty
// string if it is absent. The name is case-sensitive.
inline std::string HeaderOf(const std::string& head, const std::string& name) {
  const std::size_t start = head.find("\r\n" + name + ": ");
  if (start == std::string::npos) {
    return "";
  }
  const std::size_t value = start + name.size() + 4;
  return head.substr(value, head.find("\r\n", value) - value);
}

// A target on a loopback port that passes each request to a handler of the
// test, with one thread per connection.
class FakeTarget {
 public:
  // Called with the connection and the head of a request. Reads the body and
  // sends the response. Returns whether to keep the connection open. Called on
  // the threads of the connections.
  using Handler = std::function<bool(RawSocket&, const std::string& head)>;

  explicit FakeTarget(Handler handler) : m_handler(std::move(handler)) {
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = RawSocket::Loopback(0);
    socklen_t size = sizeof address;
    (void)bind(m_listener, reinterpret_cast<sockaddr*>(&address), size);
    listen(m_listener, 128);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_accept_thread = std::thread([this] { Accept(); });
  }

  ~FakeTarget() {
    StopListening();
    m_accept_thread.join();
    close(m_listener);
    {
      const std::lock_guard lock(m_mutex);
      for (const int fd : m_open_fds) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  // Makes the target refuse new connections.
  void StopListening() { shutdown(m_listener, SHUT_RDWR); }

  const std::string& address() const { return m_address; }
  int connections() const { return m_connections; }

  // Returns the heads of all requests so far, including those to /control/.
  std::vector<std::string> heads() {
    const std::lock_guard lock(m_mutex);
    return m_heads;
  }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept(m_listener, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      ++m_connections;
      const std::lock_guard lock(m_mutex);
      m_open_fds.push_back(fd);
      m_threads.emplace_back([this, fd] { Serve(fd); });
    }
  }

  void Serve(int fd) {
    RawSocket connection(fd);
    connection.SetNoDelay();
    for (;;) {
      const std::string head = connection.ReadThrough("\r\n\r\n");
      if (!head.ends_with("\r\n\r\n")) {
        break;
      }
      {
        const std::lock_guard lock(m_mutex);
        m_heads.push_back(head);
      }
      if (!m_handler(connection, head)) {
        break;
      }
    }
    const std::lock_guard lock(m_mutex);
    m_open_fds.remove(fd);
    connection.Close();
  }

  Handler m_handler;
  int m_listener = -1;
  std::string m_address;
  std::atomic<int> m_connections = 0;
  std::mutex m_mutex;
  std::vector<std::string> m_heads;
  std::list<int> m_open_fds;
  std::list<std::thread> m_threads;
  std::thread m_accept_thread;
};

}  // namespace snipehall::test
