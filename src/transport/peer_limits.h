#pragma once

#include <cstddef>

#include "state/types.h"

namespace snipehall {

// Limits and timeouts of the RPC connections between instances.
struct PeerLimits {
  // Messages in each queue between the control thread and the link thread.
  std::size_t queue_capacity = 1024;
  // Timeout of a heartbeat call. Its connection is then closed.
  Milliseconds heartbeat_timeout{300};
  // Timeout of a request for records, whose response can be large.
  Milliseconds records_timeout{5000};
  // Time after which a call from a peer fails because the control thread has
  // not replied.
  Milliseconds reply_timeout{1000};
  // Time without a call after which a connection is closed. Peers without a
  // common group send a heartbeat every second, well within this time.
  Milliseconds idle_timeout{10000};
  // Open connections from peers. Further ones are closed at once.
  std::size_t max_connections = 256;
  // Calls from peers that wait for a reply. Further ones fail as overloaded.
  std::size_t max_pending_calls = 512;
  // Maximum size of one response to a request for records.
  std::size_t max_records_per_response = 1024;
  std::size_t max_record_bytes_per_response = std::size_t{16} << 20;
};

}  // namespace snipehall
