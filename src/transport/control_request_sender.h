#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "transport/target_pool.h"

namespace snipehall {

// Sends cancellations and health probes to targets in the background. These
// requests use the targets' connection pools without waiting for a free
// connection, and are limited in number and duration.
class ControlRequestSender {
 public:
  // Maximum number of requests in progress. Further ones are dropped, which is
  // safe: a cancellation only saves work at the target, and probes are
  // repeated.
  static constexpr int kMaxInFlight = 64;
  // Time allowed for a request, including connecting.
  static constexpr std::chrono::milliseconds kTimeout{1000};

  ControlRequestSender(const Executor& executor, TargetPools& pools)
      : m_executor(executor), m_pools(pools) {}

  // Tells the target that the response to a request is no longer needed.
  void SendCancellation(std::string_view address, std::string_view request_id);

  // Probes the target's health. `on_success` is called if it responds with 200.
  void SendHealthProbe(std::string_view address,
                       std::function<void()> on_success);

  // Cancels the requests in progress and ignores new ones.
  void Close();

 private:
  Task<void> RunRequest(std::shared_ptr<TargetPool> pool,
                        std::string message,
                        std::function<void()> on_success);
  // Returns whether the target responded with 200 and the connection can be
  // reused.
  Task<bool> Exchange(ByteStream& stream, std::string_view message);
  void StartRequest(std::string_view address,
                    std::string message,
                    std::function<void()> on_success);

  Executor m_executor;
  TargetPools& m_pools;
  std::set<ByteStream*> m_streams;
  int m_in_flight = 0;
  bool m_closed = false;
};

}  // namespace snipehall
