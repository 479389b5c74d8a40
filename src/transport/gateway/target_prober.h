#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

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
               ZoneName own_zone,
               std::uint64_t seed,
               std::function<void()> on_probe_ended)
      : m_executor(executor),
        m_services(services),
        m_own_zone(std::move(own_zone)),
        m_random(seed),
        m_on_probe_ended(std::move(on_probe_ended)) {}

  // Starts the probes that are due. Call it regularly, and after a failure.
  void Update();
  // Cancels the probes in progress and starts no more.
  void Close();

 private:
  void StartRound(MonotonicTime now, GatewayService& service, int count);
  // Chooses `count` targets at random: half of them in the own availability
  // zone, which may be all that can be reached, if it has as many.
  std::vector<RouteTarget> ChooseTargets(
      const std::vector<RouteTarget>& targets,
      int count);
  Task<void> Probe(GatewayService& service, std::string address);
  // Whether a connection to the target can be made.
  Task<bool> Connect(std::string address);

  Executor m_executor;
  GatewayServices& m_services;
  ZoneName m_own_zone;
  std::mt19937_64 m_random;
  std::function<void()> m_on_probe_ended;
  std::set<ByteStream*> m_streams;
  bool m_closed = false;
};

}  // namespace snipehall
