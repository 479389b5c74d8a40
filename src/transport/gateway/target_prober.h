#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "transport/byte_stream.h"
#include "transport/gateway/gateway_services.h"

namespace snipehall {

// Connects to targets, and closes the connections at once, when the
// TargetReachability of their service asks for probes.
class TargetProber {
 public:
  // `on_probe_ended` is called after each probe. `services` must outlive the
  // object, and the object its probes.
  TargetProber(const Executor& executor,
               GatewayServices& services,
               std::uint64_t seed,
               std::function<void()> on_probe_ended)
      : m_executor(executor),
        m_services(services),
        m_random(seed),
        m_on_probe_ended(std::move(on_probe_ended)) {}

  // Starts the probes that are due. Call it regularly, and after a failure.
  void Update();
  // Cancels the probes in progress and starts no more.
  void Close();

 private:
  void StartRound(MonotonicTime now, GatewayService& service, int count);
  Task<void> Probe(GatewayService& service, std::string address);
  // Whether a connection to the target can be made.
  Task<bool> Connect(std::string address);

  Executor m_executor;
  GatewayServices& m_services;
  std::mt19937_64 m_random;
  std::function<void()> m_on_probe_ended;
  std::set<ByteStream*> m_streams;
  bool m_closed = false;
};

}  // namespace snipehall
