#include <malloc.h>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <string>

#include "coordination/messages.h"
#include "protocol/peer_codec.h"
#include "protocol/record_codec.h"
#include "protocol/target_protocol.h"
#include "state/cluster_state.h"

// Measures how memory, message sizes and CPU time of the ownership protocol
// grow with the number of ranges. Prints one line of JSON for each number of
// ranges.

namespace snipehall::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kTargets = 100;
constexpr std::size_t kMoves = 16;

double MicrosecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start)
      .count();
}

// Returns the number of bytes allocated on the heap.
std::int64_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

OwnedRange RangeAt(std::size_t index, std::size_t count) {
  const std::uint64_t width = UINT64_MAX / count;
  OwnedRange range;
  range.range = {index * width,
                 index + 1 == count ? UINT64_MAX : (index + 1) * width - 1};
  range.owner = "gearshelf-" + std::to_string(index % kTargets);
  range.group = "ridge-north";
  range.token = 2;
  return range;
}

SnapshotRecord MakeSnapshot(std::size_t count) {
  SnapshotRecord snapshot;
  snapshot.covers = 2;
  ServiceAssignment assignment{"gearshelf", 2, {}};
  assignment.ranges.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    assignment.ranges.push_back(RangeAt(i, count));
  }
  snapshot.assignments.push_back(std::move(assignment));
  return snapshot;
}

// Returns a record that moves 16 single keys, like a plan that rebalances hot
// keys.
Record MakeMoves(std::size_t count) {
  AssignmentRecord body{"gearshelf", {}};
  for (std::size_t i = 0; i < kMoves; ++i) {
    const OwnedRange range = RangeAt(i * count / kMoves, count);
    const std::uint64_t hash = range.range.first + 5;
    body.changes.push_back({{hash, hash}, "gearshelf-99", range.group});
  }
  return {"ridge-north-1-0123456789abcdef-1", "ridge-north-1", 2, body};
}

std::size_t LeaseOrderBytes(std::size_t ranges) {
  LeaseOrder order{"gearshelf-1", 1, 2, 123456789, std::nullopt};
  if (ranges > 0) {
    order.ranges.emplace();
    for (std::size_t i = 0; i < ranges; ++i) {
      const OwnedRange range = RangeAt(i, ranges);
      order.ranges->push_back({range.range, range.token});
    }
  }
  return EncodeLeaseOrder(order).size();
}

// Returns the size in bytes of a heartbeat with the leases of `targets`
// targets, without the framing of the RPC call.
std::size_t HeartbeatBytes(std::size_t targets) {
  Heartbeat heartbeat;
  heartbeat.from = "ridge-north-1";
  heartbeat.offset = 123456;
  for (std::size_t i = 0; i < targets; ++i) {
    heartbeat.lease_remaining_ms["gearshelf-" + std::to_string(i)] = 500;
  }
  capnp::MallocMessageBuilder message;
  WriteHeartbeat(heartbeat, message.initRoot<rpc::Heartbeat>());
  return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

boost::json::object MeasureRangeCount(std::size_t count) {
  const Record snapshot{"s", "ridge-north-1", 2, MakeSnapshot(count)};
  auto start = Clock::now();
  const std::string text = EncodeRecord(snapshot);
  const double encode_us = MicrosecondsSince(start);
  start = Clock::now();
  const auto decoded = DecodeRecord(text);
  const double decode_us = MicrosecondsSince(start);
  if (!decoded) {
    throw std::runtime_error(decoded.error().message);
  }
  const std::int64_t before = AllocatedBytes();
  auto state =
      ClusterState::FromSnapshot(std::get<SnapshotRecord>(snapshot.body));
  const std::int64_t state_bytes = AllocatedBytes() - before;
  const Record moves = MakeMoves(count);
  start = Clock::now();
  const ApplyOutcome outcome = state.value().Apply(3, moves);
  const double apply_us = MicrosecondsSince(start);
  if (outcome != ApplyOutcome::kAccepted) {
    throw std::runtime_error("the record of moves was not accepted");
  }
  return {{"ranges", count},
          {"snapshot_bytes", text.size()},
          {"snapshot_encode_us", encode_us},
          {"snapshot_decode_us", decode_us},
          {"state_bytes", state_bytes},
          {"moves_record_bytes", EncodeRecord(moves).size()},
          {"apply_16_moves_us", apply_us},
          {"lease_extension_bytes", LeaseOrderBytes(0)},
          {"heartbeat_bytes", HeartbeatBytes(count / 1000)},
          {"lease_set_bytes", LeaseOrderBytes(count / kTargets)}};
}

}  // namespace

}  // namespace snipehall::bench

int main() {
  for (const std::size_t count : {100000, 10000, 1000}) {
    std::cout << boost::json::serialize(
                     snipehall::bench::MeasureRangeCount(count))
              << std::endl;
  }
  return 0;
}
