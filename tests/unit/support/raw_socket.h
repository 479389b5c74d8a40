#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

namespace snipehall::test {

// A blocking loopback socket whose reads end after a time limit.
class RawSocket {
 public:
  static constexpr int kTimeLimitMs = 10000;

  explicit RawSocket(int fd = -1) : m_fd(fd) {}
  ~RawSocket() { Close(); }
  RawSocket(RawSocket&& other) noexcept
      : m_fd(std::exchange(other.m_fd, -1)),
        m_input(std::move(other.m_input)) {}
  RawSocket& operator=(RawSocket&&) = delete;

  // Connects to "127.0.0.1:port".
  static RawSocket Connect(const std::string& address) {
    RawSocket result(socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in to = Loopback(static_cast<std::uint16_t>(
        std::atoi(address.substr(address.rfind(':') + 1).c_str())));
    if (connect(result.m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to) !=
        0) {
      result.Close();
    }
    result.SetNoDelay();
    return result;
  }

  static sockaddr_in Loopback(std::uint16_t port) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  bool is_open() const { return m_fd >= 0; }
  int fd() const { return m_fd; }
  void SetNoDelay() {
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }

  // False when the peer has closed the connection.
  bool Send(std::string_view text) {
    while (!text.empty()) {
      const ssize_t size = send(m_fd, text.data(), text.size(), MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      text.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }

  // Reads more input; false at its end or after the time limit.
  bool Fill(int limit_ms = kTimeLimitMs) {
    pollfd entry = {m_fd, POLLIN, 0};
    if (poll(&entry, 1, limit_ms) <= 0) {
      return false;
    }
    char buffer[65536];
    const ssize_t size = recv(m_fd, buffer, sizeof buffer, 0);
    if (size <= 0) {
      m_ended = true;
      return false;
    }
    m_input.append(buffer, static_cast<std::size_t>(size));
    return true;
  }

  // Input up to and with `end`; shorter when the input ends before.
  std::string ReadThrough(std::string_view end) {
    std::size_t found = 0;
    while ((found = m_input.find(end)) == std::string::npos) {
      if (!Fill()) {
        return std::exchange(m_input, {});
      }
    }
    return Take(found + end.size());
  }

  // Exactly `size` bytes; fewer when the input ends before.
  std::string ReadExactly(std::size_t size) {
    while (m_input.size() < size && Fill()) {
    }
    return Take(std::min(size, m_input.size()));
  }

  // Everything up to the end of the input.
  std::string ReadAll() {
    while (Fill()) {
    }
    return std::exchange(m_input, {});
  }

  // Reads and drops `size` bytes; returns how many came.
  std::size_t Drop(std::size_t size) {
    std::size_t dropped = Take(std::min(size, m_input.size())).size();
    char block[65536];
    while (dropped < size) {
      const ssize_t count =
          recv(m_fd, block, std::min(sizeof block, size - dropped), 0);
      if (count <= 0) {
        break;
      }
      dropped += static_cast<std::size_t>(count);
    }
    return dropped;
  }

  // The peer has closed the connection and nothing is left to read.
  bool IsAtEnd() {
    while (!m_ended && m_input.empty() && Fill()) {
    }
    return m_ended && m_input.empty();
  }

  void ShutdownSend() { shutdown(m_fd, SHUT_WR); }
  void Close() {
    if (m_fd >= 0) {
      close(std::exchange(m_fd, -1));
    }
  }
  // Closes with a reset.
  void Reset() {
    const linger option = {1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    Close();
  }

 private:
  std::string Take(std::size_t size) {
    std::string result = m_input.substr(0, size);
    m_input.erase(0, size);
    return result;
  }

  int m_fd;
  std::string m_input;
  bool m_ended = false;
};

}  // namespace snipehall::test
