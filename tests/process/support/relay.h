#pragma once

#include <memory>
#include <string>

namespace snipehall::test {

// Forwards TCP connections to another address, on a thread of its own. While
// it is stopped, it neither forwards nor closes anything, like a network
// partition: bytes and new connections wait.
class Relay {
 public:
  // `upstream` is "IP-number:port".
  explicit Relay(const std::string& upstream);
  ~Relay();

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Where it listens, "127.0.0.1:port".
  const std::string& address() const { return m_address; }

  void Stop();
  // Forwards requests, but no answers.
  void StopAnswers();
  void Resume();
  // Resets every connection.
  void Reset();

 private:
  class Impl;

  std::unique_ptr<Impl> m_impl;
  std::string m_address;
};

}  // namespace snipehall::test
