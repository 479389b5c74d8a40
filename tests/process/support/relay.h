#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace snipehall::test {

// A TCP proxy for fault injection, on a dedicated thread. While it is paused it
// neither forwards nor closes anything, like a network partition: data, closes
// and new connections are held back until Resume().
class Relay {
 public:
  // Listens on a free loopback port and forwards connections to `upstream`,
  // "IP-number:port".
  explicit Relay(const std::string& upstream);
  ~Relay();

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // The address it listens on, "127.0.0.1:port".
  const std::string& address() const { return m_address; }

  // Stops forwarding in both directions.
  void Pause();
  // Forwards from clients to `upstream`, but holds back the other direction.
  void PauseResponses();
  void Resume();
  // Limits the data from `upstream` to clients, of all connections together.
  void LimitResponseRate(std::size_t bytes_per_second);
  // Closes every open connection with a TCP reset.
  void ResetConnections();
  // The same, and refuses new connections if `refuse` is true, or accepts them
  // again.
  void Refuse(bool refuse);

 private:
  class Impl;

  std::unique_ptr<Impl> m_impl;
  std::string m_address;
};

}  // namespace snipehall::test
