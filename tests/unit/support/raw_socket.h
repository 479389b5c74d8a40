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

// A blocking TCP socket on the loopback interface. Reads other than Drop() fail
// after a timeout, so that a failing test does not hang.
class RawSocket {
 public:
  static constexpr int kReadTimeoutMs = 10000;

  explicit RawSocket(int fd = -1) : m_fd(fd) {}
  ~RawSocket() { Close(); }
  RawSocket(RawSocket&& other) noexcept
      : m_fd(std::exchange(other.m_fd, -1)),
        m_input(std::move(other.m_input)) {}
  RawSocket& operator=(RawSocket&&) = delete;

  // Connects to "127.0.0.1:port". The result is not open if that fails.
  static RawSocket Connect(const std::string& address) {
    RawSocket result(socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in remote = Loopback(static_cast<std::uint16_t>(
        std::atoi(address.substr(address.rfind(':') + 1).c_str())));
    if (connect(result.m_fd, reinterpret_cast<sockaddr*>(&remote),
                sizeof remote) != 0) {
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

  // Sends all of `text`. Returns false when the peer has closed the connection.
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

  // Reads more input. Returns false at the end of the input or after
  // `timeout_ms`.
  bool Fill(int timeout_ms = kReadTimeoutMs) {
    pollfd entry = {m_fd, POLLIN, 0};
    if (poll(&entry, 1, timeout_ms) <= 0) {
      return false;
    }
    char buffer[65536];
    const ssize_t size = recv(m_fd, buffer, sizeof buffer, 0);
    if (size <= 0) {
      m_reached_end = true;
      return false;
    }
    m_input.append(buffer, static_cast<std::size_t>(size));
    return true;
  }

  // Returns the input up to and including `end`, or what was received before
  // the end of the input or a timeout.
  std::string ReadThrough(std::string_view end) {
    std::size_t found = 0;
    while ((found = m_input.find(end)) == std::string::npos) {
      if (!Fill()) {
        return std::exchange(m_input, {});
      }
    }
    return Take(found + end.size());
  }

  // Returns `size` bytes, or fewer at the end of the input or after a timeout.
  std::string ReadExactly(std::size_t size) {
    while (m_input.size() < size && Fill()) {
    }
    return Take(std::min(size, m_input.size()));
  }

  // Returns everything up to the end of the input or a timeout.
  std::string ReadAll() {
    while (Fill()) {
    }
    return std::exchange(m_input, {});
  }

  // Reads and discards `size` bytes. Returns their number, which is less at the
  // end of the input.
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

  // Whether the peer has closed the connection and all input has been read.
  // Waits for input or the end of the connection.
  bool IsAtEnd() {
    while (!m_reached_end && m_input.empty() && Fill()) {
    }
    return m_reached_end && m_input.empty();
  }

  void ShutdownSend() { shutdown(m_fd, SHUT_WR); }
  void Close() {
    if (m_fd >= 0) {
      close(std::exchange(m_fd, -1));
    }
  }
  // Closes the connection with a TCP reset.
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
  bool m_reached_end = false;
};

}  // namespace snipehall::test
