#include "state/configuration.h"

#include <algorithm>
#include <set>

namespace snipehall {

namespace {

// Limits of names and target ids, characters.
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxTargetIdLength = 128;
constexpr std::string_view kNameRule =
    " letters, digits, '.', '_' or '-', not '.' or '..'";

// Checks a configuration and collects its errors with their JSON pointers.
class ConfigurationValidator {
 public:
  explicit ConfigurationValidator(const Configuration& configuration)
      : m_configuration(configuration) {}

  std::vector<Error> Run() {
    CheckZones();
    for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
      CheckService(m_configuration.services[i],
                   "/services/" + std::to_string(i));
    }
    CheckTenants();
    CheckPlans();
    return std::move(m_errors);
  }

 private:
  using Names = std::set<std::string_view>;

  void AddError(std::string message,
                std::string pointer,
                std::string value,
                std::string allowed) {
    m_errors.push_back({ErrorCode::kInvalidArgument, std::move(message),
                        std::move(pointer), std::move(value),
                        std::move(allowed)});
  }

  void CheckName(std::string_view name,
                 const std::string& pointer,
                 std::size_t limit = kMaxNameLength) {
    const bool has_valid_characters =
        std::all_of(name.begin(), name.end(), [](char c) {
          return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                 (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
        });
    if (name.empty() || name.size() > limit || !has_valid_characters ||
        name == "." || name == "..") {
      AddError("malformed name", pointer, std::string(name),
               "1 to " + std::to_string(limit) + std::string(kNameRule));
    }
  }

  // Checks the form of the name and that `seen` does not contain it, and adds
  // it there.
  void CheckUniqueName(std::string_view name,
                       const std::string& pointer,
                       Names& seen,
                       std::size_t limit = kMaxNameLength) {
    CheckName(name, pointer, limit);
    if (!seen.insert(name).second) {
      AddError("duplicate name", pointer, std::string(name),
               "a name that no earlier entry of the list has");
    }
  }

  void CheckZones() {
    Names seen;
    for (std::size_t i = 0; i < m_configuration.zones.size(); ++i) {
      const std::string pointer = "/zones/" + std::to_string(i);
      CheckUniqueName(m_configuration.zones[i].name, pointer + "/name", seen);
      CheckName(m_configuration.zones[i].region, pointer + "/region");
    }
    m_zones = std::move(seen);
  }

  void CheckTenants() {
    Names seen;
    for (std::size_t i = 0; i < m_configuration.tenants.size(); ++i) {
      CheckUniqueName(m_configuration.tenants[i].name,
                      "/tenants/" + std::to_string(i) + "/name", seen);
    }
  }

  void CheckPlans() {
    Names seen;
    for (std::size_t i = 0; i < m_configuration.plans.size(); ++i) {
      CheckUniqueName(m_configuration.plans[i].target,
                      "/plans/" + std::to_string(i) + "/target", seen,
                      kMaxTargetIdLength);
    }
  }

  void CheckService(const ServiceConfig& service, const std::string& pointer) {
    CheckUniqueName(service.name, pointer + "/name", m_services);
    if (service.slots_per_endpoint > service.connections_per_endpoint) {
      AddError(
          "more slots than connections: each request in progress needs one",
          pointer + "/slots_per_endpoint",
          std::to_string(service.slots_per_endpoint),
          "at most connections_per_endpoint, " +
              std::to_string(service.connections_per_endpoint));
    }
    if (service.move_after && (*service.move_after < Milliseconds(1000) ||
                               service.move_after->count() % 1000 != 0)) {
      AddError("time is not a whole number of seconds",
               pointer + "/on_isolation/after_s",
               std::to_string(service.move_after->count()) + " ms",
               "whole seconds, at least 1");
    }
    CheckClasses(service, pointer);
    CheckKeyRanges(service, pointer + "/key_ranges");
  }

  void CheckClasses(const ServiceConfig& service, const std::string& pointer) {
    Names seen;
    int reserved = 0;
    for (std::size_t i = 0; i < service.classes.size(); ++i) {
      const ClassConfig& entry = service.classes[i];
      const std::string class_pointer =
          pointer + "/classes/" + std::to_string(i);
      CheckUniqueName(entry.name, class_pointer + "/name", seen);
      reserved += entry.reserved_slots_percent;
      if (reserved > 100 && reserved - entry.reserved_slots_percent <= 100) {
        AddError(
            "the reserved shares of the classes exceed 100% together",
            class_pointer + "/reserved_slots_percent",
            std::to_string(entry.reserved_slots_percent),
            "at most " +
                std::to_string(100 - reserved + entry.reserved_slots_percent) +
                " after the classes before it");
      }
    }
    if (service.FindClass(service.default_class) == nullptr) {
      AddError("the default class does not exist", pointer + "/default_class",
               service.default_class, "one of: " + Join(seen));
    }
  }

  void CheckKeyRanges(const ServiceConfig& service,
                      const std::string& pointer) {
    const auto& ranges = service.key_ranges;
    if (!service.keyed) {
      if (!ranges.empty()) {
        AddError("a service that is not keyed has no key ranges", pointer,
                 std::to_string(ranges.size()) + " ranges", "no ranges");
      }
      return;
    }
    if (ranges.empty()) {
      if (!m_zones.empty()) {
        AddError("a keyed service has no key ranges", pointer, "no ranges",
                 "ranges that cover the hash space");
      }
      return;
    }
    for (std::size_t i = 0; i < ranges.size(); ++i) {
      CheckKeyRange(ranges, i, pointer + "/" + std::to_string(i));
    }
    if (ranges.back().range.last != UINT64_MAX) {
      AddError("the key ranges leave a gap at the end",
               pointer + "/" + std::to_string(ranges.size() - 1) + "/last",
               ToHex(ranges.back().range.last), ToHex(UINT64_MAX));
    }
  }

  void CheckKeyRange(const std::vector<KeyRangeConfig>& ranges,
                     std::size_t index,
                     const std::string& pointer) {
    const KeyRangeConfig& entry = ranges[index];
    if (!m_zones.contains(entry.zone)) {
      AddError("unknown zone", pointer + "/zone", entry.zone,
               "one of: " + Join(m_zones));
    }
    if (entry.range.first > entry.range.last) {
      AddError("the range ends before it begins", pointer + "/last",
               ToHex(entry.range.last), "at least " + ToHex(entry.range.first));
    }
    if (index == 0) {
      if (entry.range.first != 0) {
        AddError("the key ranges leave a gap at the beginning",
                 pointer + "/first", ToHex(entry.range.first), ToHex(0));
      }
      return;
    }
    const std::uint64_t previous = ranges[index - 1].range.last;
    if (entry.range.first <= previous) {
      AddError("the range overlaps the one before it", pointer + "/first",
               ToHex(entry.range.first),
               previous == UINT64_MAX ? "no range after the last hash"
                                      : ToHex(previous + 1));
    } else if (entry.range.first != previous + 1) {
      AddError("the key ranges leave a gap before this one", pointer + "/first",
               ToHex(entry.range.first), ToHex(previous + 1));
    }
  }

  static std::string Join(const Names& names) {
    std::string text;
    for (const std::string_view name : names) {
      text.append(text.empty() ? "" : ", ").append(name);
    }
    return text.empty() ? "(none is defined)" : text;
  }

  const Configuration& m_configuration;
  Names m_zones;
  Names m_services;
  std::vector<Error> m_errors;
};

template <typename T>
const T* FindByName(const std::vector<T>& entries, std::string_view name) {
  const auto found =
      std::find_if(entries.begin(), entries.end(),
                   [name](const T& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

}  // namespace

const ClassConfig* ServiceConfig::FindClass(std::string_view name) const {
  return FindByName(classes, name);
}

Milliseconds ServiceConfig::longest_deadline() const {
  Milliseconds longest{0};
  for (const ClassConfig& entry : classes) {
    longest = std::max(longest, entry.default_deadline);
  }
  return longest;
}

const ServiceConfig* Configuration::FindService(std::string_view name) const {
  return FindByName(services, name);
}

bool Configuration::HasZone(std::string_view name) const {
  return FindByName(zones, name) != nullptr;
}

bool Configuration::IsDrained(std::string_view target) const {
  return std::any_of(
      plans.begin(), plans.end(),
      [target](const PlanConfig& plan) { return plan.target == target; });
}

std::vector<KeyRangeConfig> EqualKeyRanges(std::span<const ZoneConfig> zones) {
  std::vector<KeyRangeConfig> ranges;
  if (zones.empty()) {
    return ranges;
  }
  const std::uint64_t step = UINT64_MAX / zones.size();
  std::uint64_t first = 0;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const std::uint64_t last =
        i + 1 == zones.size() ? UINT64_MAX : first + step;
    ranges.push_back({{first, last}, zones[i].name});
    first = last + 1;
  }
  return ranges;
}

std::vector<Error> ValidateConfiguration(const Configuration& configuration) {
  return ConfigurationValidator(configuration).Run();
}

std::vector<Error> ValidateNewPlans(const Configuration& configuration,
                                    const Configuration* in_force,
                                    std::span<const TargetId> known_targets) {
  std::vector<Error> errors;
  for (std::size_t i = 0; i < configuration.plans.size(); ++i) {
    const TargetId& target = configuration.plans[i].target;
    const bool is_new = in_force == nullptr || !in_force->IsDrained(target);
    const bool known = std::find(known_targets.begin(), known_targets.end(),
                                 target) != known_targets.end();
    if (is_new && !known) {
      errors.push_back({ErrorCode::kInvalidArgument, "unknown target",
                        "/plans/" + std::to_string(i) + "/target", target,
                        "the id of a target in the instance list"});
    }
  }
  return errors;
}

}  // namespace snipehall
