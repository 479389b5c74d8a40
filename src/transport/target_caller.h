#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "transport/target_pool.h"

namespace snipehall {

// Sends the instance's own short messages to targets: cancellations and
// probes. They use connections of the targets' pools, never wait for one, and
// are bounded in number and time.
class TargetCaller {
 public:
  // Messages under way at a time. Beyond it they are dropped: a cancellation
  // only saves the target work, and a probe is repeated.
  static constexpr int kLimit = 64;
  static constexpr std::chrono::milliseconds kTimeLimit{1000};

  TargetCaller(const Executor& executor, TargetPools& pools)
      : m_executor(executor), m_pools(pools) {}

  // Tells the target that nobody waits for the answer any more.
  void Cancel(std::string_view address, std::string_view request_id);

  // Asks the target for its health; `on_answer` is called when it answers 200.
  void Probe(std::string_view address, std::function<void()> on_answer);

  // Breaks off all messages and refuses new ones.
  void Close();

 private:
  Task<void> Send(std::shared_ptr<TargetPool> pool,
                  std::string message,
                  std::function<void()> on_answer);
  Task<bool> Exchange(ByteStream& stream, std::string_view message);
  void Spawn(std::string_view address,
             std::string message,
             std::function<void()> on_answer);

  Executor m_executor;
  TargetPools& m_pools;
  std::set<ByteStream*> m_streams;
  int m_running = 0;
  bool m_closed = false;
};

}  // namespace snipehall
