#pragma once

#include <prometheus/registry.h>

#include <atomic>
#include <memory>
#include <string>

#include "protocol/settings.h"
#include "state/published.h"
#include "state/result.h"
#include "state/routing_table.h"
#include "transport/caller_limits.h"

namespace snipehall {

// Serves callers on a thread of its own: reads requests, chooses targets,
// forwards and streams the answers back.
class DataService {
 public:
  // What the service reads from the rest of the daemon. All referenced objects
  // outlive the service.
  struct Inputs {
    const Published<RoutingTable>* routing_table = nullptr;
    // See ControlService::confirmed_until().
    const std::atomic<MonotonicTime::rep>* confirmed_until = nullptr;
    std::shared_ptr<prometheus::Registry> registry;
    CallerLimits limits = {};
  };

  // Binds the callers' listener and starts the thread.
  static Result<std::unique_ptr<DataService>> Start(const Settings& settings,
                                                    Inputs inputs);

  ~DataService();

  DataService(const DataService&) = delete;
  DataService& operator=(const DataService&) = delete;

  // Address of the callers' listener, with the port that was chosen.
  std::string caller_address() const;

  // Stops accepting connections, finishes the requests in progress and returns
  // when none is left or `deadline` has passed. Returns the number cut off.
  int Drain(MonotonicTime deadline);

 private:
  class Impl;

  explicit DataService(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
