#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "state/hash_range.h"
#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// An availability zone.
struct ZoneConfig {
  ZoneName name;
  std::string region;

  bool operator==(const ZoneConfig&) const = default;
};

// A class of requests of one service, for example "lookup" or "photo".
struct ClassConfig {
  std::string name;
  // Deadline of a request that sets none, from its arrival.
  Milliseconds default_deadline{1000};
  // Percentage of each endpoint's slots that only this class may use.
  int reserved_slots_percent = 0;
  // Maximum number of requests of this class that may wait in one instance.
  int queue_limit = 256;

  bool operator==(const ClassConfig&) const = default;
};

// Assigns a range of a service's hash space to the targets of a zone.
struct KeyRangeConfig {
  HashRange range;
  ZoneName zone;

  bool operator==(const KeyRangeConfig&) const = default;
};

// A service with its limits, request classes and key ranges.
struct ServiceConfig {
  ServiceName name;
  bool keyed = false;
  // Whether targets check the fencing token of each request. When they do not,
  // the instance checks before it sends that its own view of the log was
  // confirmed recently.
  bool checks_orders = true;
  int slots_per_endpoint = 1;
  int connections_per_endpoint = 100;
  // Time after which the keys of an isolated zone move to other zones. Without
  // a value its keys are unavailable until the zone is back.
  std::optional<Milliseconds> move_after;
  std::string default_class;
  std::vector<ClassConfig> classes;
  // Cover the whole hash space without gaps or overlaps; empty unless the
  // service is keyed.
  std::vector<KeyRangeConfig> key_ranges;

  // Returns the class with the name, or null.
  const ClassConfig* FindClass(std::string_view name) const;

  // Returns the longest default deadline of the classes. It caps the deadlines
  // of a keyed service whose targets do not check fencing tokens, since a move
  // of a key waits this long for requests that were already sent.
  Milliseconds longest_deadline() const;

  bool operator==(const ServiceConfig&) const = default;
};

// A tenant and its weight.
struct TenantConfig {
  std::string name;
  // Share of a service's capacity under overload, relative to the weights of
  // the other tenants.
  int weight = 1;

  bool operator==(const TenantConfig&) const = default;
};

enum class PlanKind { kDrain, kStop };

// Takes a target out of service. A drained target gets no new requests; a
// stopped one is also asked to shut down once its requests are done.
struct PlanConfig {
  PlanKind kind = PlanKind::kDrain;
  TargetId target;

  bool operator==(const PlanConfig&) const = default;
};

// The configuration document that operators publish. Its shape is given by the
// schema, its meaning is checked by ValidateConfiguration().
struct Configuration {
  std::vector<ZoneConfig> zones;
  std::vector<ServiceConfig> services;
  std::vector<TenantConfig> tenants;
  std::vector<PlanConfig> plans;

  // Returns the service with the name, or null.
  const ServiceConfig* FindService(std::string_view name) const;
  bool HasZone(std::string_view name) const;
  // Whether there is a plan of either kind for the target, so that it gets no
  // new requests.
  bool IsDrained(std::string_view target) const;

  bool operator==(const Configuration&) const = default;
};

// Splits the hash space into one range of equal size per zone, in the order of
// `zones`.
std::vector<KeyRangeConfig> EqualKeyRanges(std::span<const ZoneConfig> zones);

// Checks the meaning of a document that already matches the schema: unknown
// zones, key ranges that overlap or leave gaps, limits beyond an endpoint's
// slots, malformed or duplicate names. Returns all errors, each with its JSON
// pointer; empty when the document is valid.
std::vector<Error> ValidateConfiguration(const Configuration& configuration);

// Checks that each plan that is not already in force names a target of the
// instance list. Use it before publication only, never when records of the log
// are applied: the list lags and differs between instances. Plans in force may
// name targets that no longer exist.
std::vector<Error> ValidateNewPlans(const Configuration& configuration,
                                    const Configuration* in_force,
                                    std::span<const TargetId> known_targets);

}  // namespace snipehall
