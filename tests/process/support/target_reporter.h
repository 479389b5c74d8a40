#pragma once

#include <string>
#include <thread>

#include "process/support/gateway_cluster.h"

namespace snipehall::test {

// Reports a target that the test itself runs to the platform's list, again and
// again until it is destroyed: the list drops targets that fall silent.
class TargetReporter {
 public:
  // Returns when the first report is in the list. `cluster` must outlive the
  // object; `address` is "127.0.0.1:port".
  TargetReporter(GatewayCluster& cluster,
                 std::string id,
                 std::string service,
                 std::string address);

 private:
  void Report(int sequence) const;

  GatewayCluster& m_cluster;
  std::string m_id;
  std::string m_service;
  std::string m_address;
  std::jthread m_thread;
};

}  // namespace snipehall::test
