#include "soak/soak_checks.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <set>
#include <utility>

namespace snipehall::test {

namespace {

namespace json = boost::json;

// Times are rounded to milliseconds in two processes.
constexpr std::int64_t kRoundingMs = 2;

struct Hold {
  std::int64_t first = 0;
  std::int64_t last = 0;
  std::int64_t until_ms = 0;
};

// The keys that each target holds, by the events read so far.
class Holdings {
 public:
  void Drop(const std::string& target, std::int64_t first, std::int64_t last) {
    std::vector<Hold> rest;
    for (const Hold& hold : m_holds[target]) {
      if (hold.last < first || hold.first > last) {
        rest.push_back(hold);
        continue;
      }
      if (hold.first < first) {
        rest.push_back({hold.first, first - 1, hold.until_ms});
      }
      if (hold.last > last) {
        rest.push_back({last + 1, hold.last, hold.until_ms});
      }
    }
    m_holds[target] = std::move(rest);
  }

  void Add(const std::string& target, const Hold& hold) {
    Drop(target, hold.first, hold.last);
    m_holds[target].push_back(hold);
  }

  void Forget(const std::string& target) { m_holds.erase(target); }

  // Another target that holds the key at the time; empty without one.
  std::string OtherHolder(const std::string& target,
                          std::int64_t key,
                          std::int64_t ms) const {
    for (const auto& [other, holds] : m_holds) {
      const bool holding =
          other != target &&
          std::any_of(holds.begin(), holds.end(), [&](const Hold& hold) {
            return hold.first <= key && key <= hold.last &&
                   hold.until_ms > ms + kRoundingMs;
          });
      if (holding) {
        return other;
      }
    }
    return {};
  }

 private:
  std::map<std::string, std::vector<Hold>> m_holds;
};

std::string Text(const json::object& event, const char* name) {
  return std::string(event.at(name).as_string());
}

std::int64_t Number(const json::object& event, const char* name) {
  return event.at(name).to_number<std::int64_t>();
}

// Follows the targets' events: counts runs and checks owners.
std::map<std::string, int> CountRuns(const std::vector<std::string>& events,
                                     std::vector<std::string>& broken) {
  std::map<std::string, int> runs;
  Holdings holdings;
  for (const std::string& line : events) {
    const json::object event = json::parse(line).as_object();
    const std::string kind = Text(event, "event");
    const std::string target = Text(event, "target");
    if (kind == "grant") {
      holdings.Add(target, {Number(event, "first"), Number(event, "last"),
                            Number(event, "until_ms")});
    } else if (kind == "release") {
      holdings.Drop(target, Number(event, "first"), Number(event, "last"));
    } else if (kind == "dead") {
      holdings.Forget(target);
    } else if (kind == "begin") {
      ++runs[Text(event, "id")];
      const std::int64_t key = Number(event, "key");
      const std::string other =
          key < 0 ? std::string()
                  : holdings.OtherHolder(target, key, Number(event, "ms"));
      if (!other.empty()) {
        std::string line = "two owners: ";
        line.append(target).append(" runs key ").append(std::to_string(key));
        line.append(" that ").append(other).append(" holds");
        broken.push_back(std::move(line));
      }
    }
  }
  return runs;
}

bool SaysNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

std::vector<std::string> CheckSoak(const std::vector<SoakRequest>& requests,
                                   const std::vector<std::string>& events) {
  std::vector<std::string> broken;
  const std::map<std::string, int> runs = CountRuns(events, broken);
  std::set<std::string> ids;
  for (const SoakRequest& request : requests) {
    ids.insert(request.id);
    const auto found = runs.find(request.id);
    const int count = found == runs.end() ? 0 : found->second;
    if (!request.idempotent && count > 1) {
      broken.push_back("ran twice: " + request.id);
    }
    if (!request.idempotent && SaysNotRun(request.status) && count > 0) {
      broken.push_back("refused as not run, but ran: " + request.id);
    }
    if (request.status == 200 &&
        (!request.matches || !request.signed_by_target || count == 0)) {
      broken.push_back("success that no target gave: " + request.id);
    }
  }
  for (const auto& [id, count] : runs) {
    if (!ids.contains(id)) {
      broken.push_back("ran without being asked: " + id);
    }
  }
  return broken;
}

}  // namespace snipehall::test
