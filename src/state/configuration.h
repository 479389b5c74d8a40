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

struct ZoneConfig {
  ZoneName name;
  std::string region;

  bool operator==(const ZoneConfig&) const = default;
};

// A class of requests of one service, for example "lookup" or "photo".
struct ClassConfig {
  std::string name;
  // Time allowed for a request that names no deadline.
  Milliseconds default_deadline{1000};
  // Share of each endpoint's slots that only this class may use, in percent.
  int reserved_slots_percent = 0;
  // Requests of this class that may wait in one instance.
  int queue_limit = 256;

  bool operator==(const ClassConfig&) const = default;
};

// Part of a service's hash space with the zone whose targets own it.
struct KeyRangeConfig {
  HashRange range;
  ZoneName zone;

  bool operator==(const KeyRangeConfig&) const = default;
};

struct ServiceConfig {
  ServiceName name;
  bool keyed = false;
  // Whether targets check the fencing token of each order. When they don't,
  // the instance checks its own confirmation when it sends.
  bool checks_orders = true;
  int slots_per_endpoint = 1;
  int connections_per_endpoint = 100;
  // Time after which a zone that is cut off gives up the service's keys.
  // Without a value its keys wait for the zone.
  std::optional<Milliseconds> move_after;
  std::string default_class;
  std::vector<ClassConfig> classes;
  // Covers the whole hash space without gap or overlap; keyed services only.
  std::vector<KeyRangeConfig> key_ranges;

  const ClassConfig* FindClass(std::string_view name) const;

  // The greatest default deadline of the classes. A request of a keyed service
  // whose targets do not check orders is given no more, since a move of its key
  // waits this long for requests already sent.
  Milliseconds longest_deadline() const;

  bool operator==(const ServiceConfig&) const = default;
};

struct TenantConfig {
  std::string name;
  // Share of a service's capacity relative to other tenants under overload.
  int weight = 1;

  bool operator==(const TenantConfig&) const = default;
};

enum class PlanKind { kDrain, kStop };

// Takes a target out of service. A drained target gets no new work; a stopped
// one is asked to end once its work is done.
struct PlanConfig {
  PlanKind kind = PlanKind::kDrain;
  TargetId target;

  bool operator==(const PlanConfig&) const = default;
};

// The document that operators publish.
struct Configuration {
  std::vector<ZoneConfig> zones;
  std::vector<ServiceConfig> services;
  std::vector<TenantConfig> tenants;
  std::vector<PlanConfig> plans;

  const ServiceConfig* FindService(std::string_view name) const;
  bool HasZone(std::string_view name) const;
  bool IsDrained(std::string_view target) const;

  bool operator==(const Configuration&) const = default;
};

// Splits the hash space equally, one range for each zone in order.
std::vector<KeyRangeConfig> EqualKeyRanges(std::span<const ZoneConfig> zones);

// Checks the meaning of a document whose shape is already right: unknown
// zones, key ranges that overlap or leave gaps, limits beyond an endpoint's
// slots, duplicate names. Each error carries its JSON pointer.
std::vector<Error> ValidateConfiguration(const Configuration& configuration);

// Checks that each plan which is not already in force names a target of the
// instance list. The list lags and differs between instances, so the fold must
// not use this check; plans in force may name targets that have ended.
std::vector<Error> ValidateNewPlans(const Configuration& configuration,
                                    const Configuration* in_force,
                                    std::span<const TargetId> known_targets);

}  // namespace snipehall
