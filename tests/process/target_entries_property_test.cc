#include <boost/json.hpp>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/target_registry.h"
#include "platform/target_entry.h"

#include <criterion/criterion.h>

// Entries of another writer, made from those of the targets, never change what
// is known of a target.

namespace snipehall::test {
namespace {

namespace json = boost::json;

// Number of seeds; the environment variable SNIPEHALL_SEEDS has another one.
constexpr int kSeeds = 300;
constexpr int kReads = 60;
constexpr Milliseconds kReadInterval{800};

int SeedCount() {
  const char* text = std::getenv("SNIPEHALL_SEEDS");
  return text == nullptr ? kSeeds : std::atoi(text);
}

// A target that writes one entry for each read of the list. Now and then it
// starts again at another address, starts to drain, or leaves.
struct SimulatedTarget {
  std::string id;
  std::string service;
  std::string address;
  std::int64_t start_time_ms = 1'700'000'000'000;
  int sequence = 0;
  bool draining = false;
  bool left = false;

  std::string NextEntry() {
    ++sequence;
    return json::serialize(
        json::value{{"Address", address},
                    {"born", start_time_ms},
                    {"Info",
                     {{"Service", service},
                      {"Version", "v1"},
                      {"Zone", "zone-1"},
                      {"Slots", 3}}},
                    {"Status",
                     {{"State", draining ? "draining" : "ready"},
                      {"Sequence", sequence},
                      {"ColdLeft", "0ms"}}}});
  }
};

class EntrySimulation {
 public:
  explicit EntrySimulation(int seed)
      : m_random(static_cast<std::uint32_t>(seed)) {
    for (int i = 0; i < 5; ++i) {
      SimulatedTarget target;
      target.id = "t-" + std::to_string(i);
      target.service = i < 3 ? "catalog" : "booking";
      target.address = NewAddress();
      m_targets.push_back(std::move(target));
    }
  }

  // Reads the list once. Returns whether both registries know the same.
  bool Read() {
    m_now += kReadInterval;
    TargetRegistry::Changes own;
    TargetRegistry::Changes mixed;
    for (SimulatedTarget& target : m_targets) {
      const bool listed_before = m_expected.targets().contains(target.id);
      Change(target);
      if (target.left) {
        own.emplace_back(target.id, std::nullopt);
        mixed.emplace_back(target.id, std::nullopt);
        continue;
      }
      const std::string entry = target.NextEntry();
      Add(target.id, entry, own);
      Add(target.id, entry, mixed);
      // Without an entry to compare with, any whole entry may be the target's.
      while (listed_before && Draw(3) == 0) {
        Add(target.id, Spoil(entry, target), mixed);
      }
    }
    m_expected.OnRead(m_now, own, false);
    m_registry.OnRead(m_now, mixed, false);
    m_expected.Expire(m_now);
    m_registry.Expire(m_now);
    return m_expected.targets() == m_registry.targets();
  }

 private:
  int Draw(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(m_random);
  }

  std::string NewAddress() {
    return "10.0.0.1:" + std::to_string(8000 + ++m_addresses);
  }

  void Change(SimulatedTarget& target) {
    switch (Draw(40)) {
      case 0:
        target.start_time_ms += 1 + Draw(100'000);
        target.address = NewAddress();
        target.sequence = 0;
        target.draining = false;
        target.left = false;
        break;
      case 1:
        target.draining = true;
        break;
      case 2:
        target.left = true;
        break;
      default:
        break;
    }
  }

  void Add(const std::string& id,
           const std::string& entry,
           TargetRegistry::Changes& changes) const {
    auto parsed = platform::ParseTargetEntry(id, entry, m_now);
    if (parsed) {
      changes.emplace_back(id, std::move(parsed).value());
    }
  }

  // Returns a copy of the entry that its target cannot have written.
  std::string Spoil(const std::string& entry, const SimulatedTarget& target) {
    static constexpr const char* kFields[][2] = {
        {"", "Address"},        {"", "Info"},         {"", "Status"},
        {"/Info", "Service"},   {"/Info", "Version"}, {"/Info", "Zone"},
        {"/Info", "Slots"},     {"/Status", "State"}, {"/Status", "Sequence"},
        {"/Status", "ColdLeft"}};
    json::value value = json::parse(entry);
    const auto& [parent, name] = kFields[Draw(std::size(kFields))];
    json::object& object = value.at_pointer(parent).as_object();
    const SimulatedTarget* other = &target;
    while (other == &target) {
      other = &m_targets[static_cast<std::size_t>(
          Draw(static_cast<int>(m_targets.size())))];
    }
    json::object& root = value.as_object();
    json::object& info = value.at("Info").as_object();
    json::object& status = value.at("Status").as_object();
    status["Sequence"] = target.sequence + Draw(100);
    switch (Draw(6)) {
      case 0:
        object.erase(name);
        break;
      case 1:
        object[name] = json::array{1};
        break;
      case 2:
        root["Address"] = other->address;
        break;
      case 3:
        info["Service"] = target.service == "catalog" ? "booking" : "catalog";
        break;
      case 4:
        info["Zone"] = "zone-2";
        break;
      default:
        status["Sequence"] = 100'000 + Draw(800'000'000);
        break;
    }
    return json::serialize(value);
  }

  std::mt19937 m_random;
  int m_addresses = 0;
  MonotonicTime m_now{std::chrono::hours(1)};
  std::vector<SimulatedTarget> m_targets;
  // Reads only what the targets write.
  TargetRegistry m_expected;
  TargetRegistry m_registry;
};

// Guards against targets that another writer ends, moves, or silences (ROUTE
// and OWNER, review/1 and review/7).
Test(target_entries_property, other_writers_change_nothing, .timeout = 600) {
  for (int seed = 1; seed <= SeedCount(); ++seed) {
    EntrySimulation simulation(seed);
    for (int read = 0; read < kReads; ++read) {
      cr_assert(simulation.Read(), "seed %d, read %d", seed, read);
    }
  }
}

}  // namespace
}  // namespace snipehall::test
