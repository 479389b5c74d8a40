#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "coordination/messages.h"
#include "protocol/peer.capnp.h"

namespace snipehall {

// Fill and read the Cap'n Proto messages of src/protocol/peer.capnp.

void WriteHeartbeat(const Heartbeat& heartbeat,
                    rpc::Heartbeat::Builder builder);
Heartbeat ReadHeartbeat(rpc::Heartbeat::Reader reader);

// Writes the first `max` of `entries` at most, and stops after `max_bytes` of
// text, but writes at least one if there is one. The reader asks again for the
// rest.
void WriteRecords(std::span<const LogEntry> entries,
                  std::size_t max,
                  std::size_t max_bytes,
                  rpc::Peer::RecordsResults::Builder builder);

// A record that cannot be decoded has an empty `record`.
std::vector<LogEntry> ReadRecords(rpc::Peer::RecordsResults::Reader reader);

}  // namespace snipehall
