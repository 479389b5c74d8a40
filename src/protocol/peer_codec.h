#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "coordination/messages.h"
#include "protocol/peer.capnp.h"

namespace snipehall {

// Conversions between the Cap'n Proto messages of src/protocol/peer.capnp and
// the types of the coordination library.

void WriteHeartbeat(const Heartbeat& heartbeat,
                    rpc::Heartbeat::Builder builder);
Heartbeat ReadHeartbeat(rpc::Heartbeat::Reader reader);

// Writes the first of `entries`: at most `max_records`, and no more once their
// text reaches `max_bytes`. Writes at least one if `entries` is not empty and
// `max_records` is not 0, so that each request makes progress. The requester
// asks again for the rest.
void WriteRecords(std::span<const LogEntry> entries,
                  std::size_t max_records,
                  std::size_t max_bytes,
                  rpc::Peer::RecordsResults::Builder builder);

// Returns the log entries of a message. The `record` of an entry is empty if it
// cannot be decoded.
std::vector<LogEntry> ReadRecords(rpc::Peer::RecordsResults::Reader reader);

}  // namespace snipehall
