#pragma once

#include <string>

#include "coordination/shared_retry_budget.h"
#include "state/types.h"

namespace snipehall {

// What a gateway learns about itself when it starts.
struct GatewaySettings {
  InstanceId instance;
  ZoneName zone;
  // "address:port" of the listeners for callers, and for readiness and metrics.
  std::string caller_address;
  std::string status_address;
  // "address:port" where other instances' datagrams arrive.
  std::string peer_address;
  // "address:port" of the platform's log.
  std::string log_address;
  // Retries that all instances may send; see SharedRetryBudget.
  SharedRetryBudget::Limits retries;
  // Rate of the instance's link, Mbit/s. Faster ones are preferred as the lead
  // and as readers of the log.
  LinkRate link = 0;
  // From the request to stop to the end of the process.
  Milliseconds stop_time{6000};
};

}  // namespace snipehall
