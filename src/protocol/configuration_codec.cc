#include "protocol/configuration_codec.h"

#include <boost/json.hpp>

#include "protocol/json_schema.h"
#include "protocol/schemas.h"

namespace snipehall {

namespace json = boost::json;

namespace {

json::array EncodeClasses(const ServiceConfig& service) {
  json::array classes;
  for (const ClassConfig& entry : service.classes) {
    classes.push_back(
        json::object{{"name", entry.name},
                     {"default_deadline_ms", entry.default_deadline.count()},
                     {"reserved_slots_percent", entry.reserved_slots_percent},
                     {"queue_limit", entry.queue_limit}});
  }
  return classes;
}

json::object EncodeIsolation(const ServiceConfig& service) {
  if (!service.move_after) {
    return {{"mode", "wait"}};
  }
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(*service.move_after);
  return {{"mode", "move_after"}, {"after_s", seconds.count()}};
}

json::object EncodeService(const ServiceConfig& service) {
  json::object object{
      {"name", service.name},
      {"keyed", service.keyed},
      {"checks_orders", service.checks_orders},
      {"slots_per_endpoint", service.slots_per_endpoint},
      {"connections_per_endpoint", service.connections_per_endpoint},
      {"on_isolation", EncodeIsolation(service)},
      {"default_class", service.default_class},
      {"classes", EncodeClasses(service)}};
  if (service.keyed || !service.key_ranges.empty()) {
    json::array ranges;
    for (const KeyRangeConfig& entry : service.key_ranges) {
      ranges.push_back(json::object{{"first", ToHex(entry.range.first)},
                                    {"last", ToHex(entry.range.last)},
                                    {"zone", entry.zone}});
    }
    object.emplace("key_ranges", std::move(ranges));
  }
  return object;
}

// The functions below need documents that are valid by the schema.

std::string GetString(const json::object& object, std::string_view name) {
  return std::string(object.at(name).as_string());
}

template <typename T>
T GetOr(const json::object& object, std::string_view name, T fallback) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? fallback : json::value_to<T>(*value);
}

// Decodes documents and collects the errors that a schema cannot express.
class ConfigurationReader {
 public:
  Configuration Read(const json::object& document) {
    Configuration configuration;
    for (const json::value& entry : document.at("zones").as_array()) {
      const json::object& zone = entry.as_object();
      configuration.zones.push_back(
          {GetString(zone, "name"), GetString(zone, "region")});
    }
    const json::array& services = document.at("services").as_array();
    for (std::size_t i = 0; i < services.size(); ++i) {
      configuration.services.push_back(
          ReadService(services[i].as_object(), configuration.zones,
                      "/services/" + std::to_string(i)));
    }
    ReadTenants(document, configuration);
    ReadPlans(document, configuration);
    return configuration;
  }

  std::vector<Error>& errors() { return m_errors; }

 private:
  void AddError(std::string message,
                std::string pointer,
                std::string value,
                std::string allowed) {
    m_errors.push_back({ErrorCode::kInvalidArgument, std::move(message),
                        std::move(pointer), std::move(value),
                        std::move(allowed)});
  }

  static void ReadTenants(const json::object& document,
                          Configuration& configuration) {
    const json::value* tenants = document.if_contains("tenants");
    if (tenants == nullptr) {
      return;
    }
    for (const json::value& entry : tenants->as_array()) {
      const json::object& tenant = entry.as_object();
      configuration.tenants.push_back(
          {GetString(tenant, "name"), GetOr(tenant, "weight", 1)});
    }
  }

  static void ReadPlans(const json::object& document,
                        Configuration& configuration) {
    const json::value* plans = document.if_contains("plans");
    if (plans == nullptr) {
      return;
    }
    for (const json::value& entry : plans->as_array()) {
      const json::object& plan = entry.as_object();
      const bool is_stop = plan.at("kind").as_string() == "stop";
      configuration.plans.push_back(
          {is_stop ? PlanKind::kStop : PlanKind::kDrain,
           GetString(plan, "target")});
    }
  }

  ServiceConfig ReadService(const json::object& object,
                            std::span<const ZoneConfig> zones,
                            const std::string& pointer) {
    ServiceConfig service;
    service.name = GetString(object, "name");
    service.keyed = GetOr(object, "keyed", service.keyed);
    service.checks_orders =
        GetOr(object, "checks_orders", service.checks_orders);
    service.slots_per_endpoint =
        GetOr(object, "slots_per_endpoint", service.slots_per_endpoint);
    service.connections_per_endpoint = GetOr(object, "connections_per_endpoint",
                                             service.connections_per_endpoint);
    service.default_class = GetString(object, "default_class");
    ReadIsolation(object, service, pointer + "/on_isolation");
    for (const json::value& entry : object.at("classes").as_array()) {
      service.classes.push_back(ReadClass(entry.as_object()));
    }
    const json::value* ranges = object.if_contains("key_ranges");
    if (ranges != nullptr) {
      ReadKeyRanges(ranges->as_array(), service, pointer + "/key_ranges");
    } else if (service.keyed) {
      service.key_ranges = EqualKeyRanges(zones);
    }
    return service;
  }

  static ClassConfig ReadClass(const json::object& object) {
    ClassConfig entry;
    entry.name = GetString(object, "name");
    entry.default_deadline = Milliseconds(
        GetOr(object, "default_deadline_ms", entry.default_deadline.count()));
    entry.reserved_slots_percent =
        GetOr(object, "reserved_slots_percent", entry.reserved_slots_percent);
    entry.queue_limit = GetOr(object, "queue_limit", entry.queue_limit);
    return entry;
  }

  void ReadIsolation(const json::object& object,
                     ServiceConfig& service,
                     const std::string& pointer) {
    const json::value* value = object.if_contains("on_isolation");
    if (value == nullptr) {
      return;
    }
    const json::object& isolation = value->as_object();
    const bool is_move_after = isolation.at("mode").as_string() == "move_after";
    const json::value* after = isolation.if_contains("after_s");
    if (is_move_after && after == nullptr) {
      AddError("missing field", pointer + "/after_s", "absent",
               "integer from 1 to 86400");
    } else if (!is_move_after && after != nullptr) {
      AddError("a service that waits has no time after which it moves",
               pointer + "/after_s", DescribeValue(*after),
               "absent, or the mode move_after");
    } else if (is_move_after) {
      service.move_after = std::chrono::seconds(after->as_int64());
    }
  }

  void ReadKeyRanges(const json::array& ranges,
                     ServiceConfig& service,
                     const std::string& pointer) {
    for (std::size_t i = 0; i < ranges.size(); ++i) {
      const json::object& range = ranges[i].as_object();
      const std::string range_pointer = pointer + "/" + std::to_string(i);
      service.key_ranges.push_back(
          {{ReadHash(range.at("first"), range_pointer + "/first"),
            ReadHash(range.at("last"), range_pointer + "/last")},
           GetString(range, "zone")});
    }
  }

  std::uint64_t ReadHash(const json::value& value, std::string pointer) {
    const Result<std::uint64_t> hash = ParseHex(value.as_string());
    if (!hash) {
      AddError("not a hash", std::move(pointer), DescribeValue(value),
               "16 hexadecimal digits");
      return 0;
    }
    return hash.value();
  }

  std::vector<Error> m_errors;
};

}  // namespace

json::object ConfigurationToJson(const Configuration& configuration) {
  json::array zones;
  for (const ZoneConfig& zone : configuration.zones) {
    zones.push_back(json::object{{"name", zone.name}, {"region", zone.region}});
  }
  json::array services;
  for (const ServiceConfig& service : configuration.services) {
    services.push_back(EncodeService(service));
  }
  json::array tenants;
  for (const TenantConfig& tenant : configuration.tenants) {
    tenants.push_back(
        json::object{{"name", tenant.name}, {"weight", tenant.weight}});
  }
  json::array plans;
  for (const PlanConfig& plan : configuration.plans) {
    plans.push_back(
        json::object{{"kind", plan.kind == PlanKind::kStop ? "stop" : "drain"},
                     {"target", plan.target}});
  }
  return {{"zones", std::move(zones)},
          {"services", std::move(services)},
          {"tenants", std::move(tenants)},
          {"plans", std::move(plans)}};
}

std::vector<Error> ConfigurationFromJson(const json::value& document,
                                         Configuration& configuration) {
  static const JsonSchema kSchema(kConfigurationSchema);
  std::vector<Error> errors = kSchema.Check(document);
  if (!errors.empty()) {
    return errors;
  }
  ConfigurationReader reader;
  Configuration decoded = reader.Read(document.as_object());
  if (!reader.errors().empty()) {
    return std::move(reader.errors());
  }
  errors = ValidateConfiguration(decoded);
  if (errors.empty()) {
    configuration = std::move(decoded);
  }
  return errors;
}

}  // namespace snipehall
