#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/record.h"
#include "state/types.h"

namespace snipehall {

// Values that the controller exchanges with the platform, targets and peers.
// The protocol layer encodes them and the transport layer sends them.

// A record read from the log. `record` is empty if it could not be decoded.
struct LogEntry {
  LogOffset offset = 0;
  std::optional<Record> record;
};

// Result of one read of the log.
struct LogRead {
  // Oldest offset that the log still holds.
  LogOffset first_offset = 1;
  // Offset that the next append will get.
  LogOffset end_offset = 1;
  std::vector<LogEntry> entries;
};

// A leased range and its fencing token.
struct LeasedRange {
  HashRange range;
  LogOffset token = 0;

  bool operator==(const LeasedRange&) const = default;
};

// Extends a target's lease. Also replaces the target's range set if `ranges` is
// present.
struct LeaseOrder {
  TargetId target;
  Incarnation incarnation = 0;
  // Version of the service's assignment that `ranges` was built from.
  LogOffset assignment_version = 0;
  // End of the lease on the target's monotonic clock, in milliseconds.
  std::int64_t deadline_ms = 0;
  std::optional<std::vector<LeasedRange>> ranges;

  bool operator==(const LeaseOrder&) const = default;
};

// A target's answer to a lease order or a status query.
struct LeaseAnswer {
  bool accepted = false;
  Incarnation incarnation = 0;
  // Reading of the target's monotonic clock when it answered, in milliseconds.
  std::int64_t clock_ms = 0;
  LogOffset assignment_version = 0;
  std::int64_t deadline_ms = 0;
  // Number of requests in progress at the target.
  int outstanding = 0;
  // Number of requests in progress on ranges that the target no longer owns.
  int revoked_ranges_in_progress = 0;
  int slots = 0;
  double load = 0;

  bool operator==(const LeaseAnswer&) const = default;
};

// Exchanged between members of a lease group.
struct Heartbeat {
  InstanceId from;
  Incarnation incarnation = 0;
  // Offset of the last record that the sender has applied.
  LogOffset offset = 0;
  // Whether the sender's state has been confirmed since it started.
  bool confirmed = false;
  // Whether the sender is stopping gracefully and coordinates no groups.
  bool leaving = false;
  // Remaining time of the latest lease that the sender extended, by target, in
  // milliseconds on the sender's clock at the time of sending.
  std::map<TargetId, std::int64_t, std::less<>> lease_remaining_ms;

  bool operator==(const Heartbeat&) const = default;
};

enum class PlatformRole { kEntry, kTarget };

// One entry of the platform's instance list. The list may be out of date.
struct PlatformInstance {
  std::string id;
  PlatformRole role = PlatformRole::kTarget;
  // Empty for entry instances.
  ServiceName service;
  ZoneName zone;
  // "address:port". For an entry instance, the address of its peer link.
  std::string address;
  bool leaving = false;

  bool operator==(const PlatformInstance&) const = default;
};

// Actions returned by the controller.

struct SendLeaseOrder {
  std::string address;
  LeaseOrder order;
};

struct SendStatusQuery {
  TargetId target;
  std::string address;
};

struct AppendRecord {
  Record record;
};

struct SendHeartbeat {
  InstanceId to;
  std::string address;
  Heartbeat heartbeat;
};

// Requests the records from `from` on from a peer that has read further.
struct FetchRecords {
  InstanceId peer;
  std::string address;
  LogOffset from = 1;
};

using Action = std::variant<SendLeaseOrder,
                            SendStatusQuery,
                            AppendRecord,
                            SendHeartbeat,
                            FetchRecords>;

}  // namespace snipehall
