#include "transport/gateway/target_prober.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <vector>

#include "transport/deadline_timer.h"
#include "transport/tcp_endpoint.h"

namespace snipehall {

namespace {

// Connecting within a region takes a few milliseconds.
constexpr Milliseconds kProbeTimeout{300};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

void TargetProber::Update() {
  if (m_closed) {
    return;
  }
  const MonotonicTime now = Now();
  m_services.ForEach(now, [this, now](GatewayService& service) {
    const int count = service.reachability.ProbesDue(now);
    if (count > 0 && !service.targets.empty()) {
      StartRound(now, service, count);
    }
  });
}

void TargetProber::StartRound(MonotonicTime now,
                              GatewayService& service,
                              int count) {
  const std::vector<RouteTarget> chosen = ChooseTargets(service.targets, count);
  service.reachability.OnProbesStarted(
      now, static_cast<int>(chosen.size()),
      count == TargetReachability::kConfirmingProbes);
  for (const RouteTarget& target : chosen) {
    boost::asio::co_spawn(m_executor, Probe(service, target.address),
                          boost::asio::detached);
  }
}

std::vector<RouteTarget> TargetProber::ChooseTargets(
    const std::vector<RouteTarget>& targets,
    int count) {
  std::vector<RouteTarget> shuffled = targets;
  std::shuffle(shuffled.begin(), shuffled.end(), m_random);
  const auto first_remote = std::stable_partition(
      shuffled.begin(), shuffled.end(),
      [this](const RouteTarget& target) { return target.zone == m_own_zone; });
  const auto local_count = std::min<std::ptrdiff_t>(
      first_remote - shuffled.begin(), (count + 1) / 2);
  const auto remote_count = std::min<std::ptrdiff_t>(
      shuffled.end() - first_remote, count - local_count);
  std::vector<RouteTarget> chosen(shuffled.begin(),
                                  shuffled.begin() + local_count);
  chosen.insert(chosen.end(), first_remote, first_remote + remote_count);
  return chosen;
}

Task<void> TargetProber::Probe(GatewayService& service, std::string address) {
  const bool connected = co_await Connect(std::move(address));
  if (m_closed) {
    co_return;
  }
  service.reachability.OnProbeEnded(Now(), connected);
  m_on_probe_ended();
}

Task<bool> TargetProber::Connect(std::string address) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    co_return false;
  }
  const auto stream = std::make_shared<ByteStream>(
      Socket(m_executor, endpoint.value().protocol()));
  m_streams.insert(stream.get());
  const auto timer = std::make_shared<DeadlineTimer>(
      m_executor, [raw = stream.get()] { raw->Cancel(); });
  timer->Arm(Now() + kProbeTimeout);
  const auto [error] =
      co_await stream->socket().async_connect(endpoint.value(), kAsTuple);
  timer->Close();
  m_streams.erase(stream.get());
  stream->Close();
  co_return !error;
}

void TargetProber::Close() {
  m_closed = true;
  for (ByteStream* stream : m_streams) {
    stream->Cancel();
  }
}

}  // namespace snipehall
