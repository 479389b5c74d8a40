#pragma once

#include <prometheus/registry.h>

#include <atomic>
#include <memory>
#include <string>

#include "protocol/settings.h"
#include "state/atomic_shared_ptr.h"
#include "state/result.h"
#include "state/routing_table.h"
#include "transport/caller_limits.h"

namespace snipehall {

// The data plane: reads callers' requests, selects targets, forwards the
// requests and streams the responses back. Runs on its own thread.
class DataService {
 public:
  // Inputs from the control plane. All referenced objects must outlive the
  // service.
  struct Inputs {
    const AtomicSharedPtr<RoutingTable>* routing_table = nullptr;
    // See ControlService::confirmed_until().
    const std::atomic<MonotonicTime::rep>* confirmed_until = nullptr;
    std::shared_ptr<prometheus::Registry> registry;
    CallerLimits limits = {};
  };

  // Opens the listener for callers and starts the thread. Fails with
  // kUnavailable if the address cannot be bound.
  static Result<std::unique_ptr<DataService>> Start(const Settings& settings,
                                                    Inputs inputs);

  // Cancels all requests in progress and joins the thread.
  ~DataService();

  DataService(const DataService&) = delete;
  DataService& operator=(const DataService&) = delete;

  // Returns the address of the listener for callers, with the actual port if
  // port 0 was configured.
  std::string caller_address() const;

  // Stops accepting connections and waits until the requests in progress have
  // finished or `deadline` has passed. Returns the number of unfinished
  // requests. Call it once, from another thread, before destruction.
  int Drain(MonotonicTime deadline);

 private:
  class Impl;

  explicit DataService(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
