#pragma once

#include <cstddef>

#include "state/types.h"

namespace snipehall {

// Bounds of the links between instances.
struct PeerLimits {
  // Messages that each ring between control and links holds.
  std::size_t ring_capacity = 1024;
  // Time after which a heartbeat, with its connection, is given up.
  Milliseconds heartbeat_call{300};
  // The same for a request for records, which can be long.
  Milliseconds records_call{5000};
  // Time after which a call from a peer fails for want of a reply by control.
  Milliseconds reply{1000};
  // Time without a call after which a connection is closed. Peers that are not
  // in a common group send a heartbeat every second.
  Milliseconds idle{10000};
  // Connections from peers; more are closed at once.
  std::size_t connections = 256;
  // Calls from peers that wait for replies; more are refused.
  std::size_t waiting_calls = 512;
  // Size of one answer to a request for records.
  std::size_t records_count = 1024;
  std::size_t records_bytes = std::size_t{16} << 20;
};

}  // namespace snipehall
