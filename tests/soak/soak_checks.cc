#include "soak/soak_checks.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <set>
#include <tuple>
#include <utility>

namespace snipehall::test {

namespace {

namespace json = boost::json;

// Tolerance for comparing times that two processes have each rounded to
// milliseconds.
constexpr std::int64_t kClockToleranceMs = 2;

// A lease on the keys from `first` to `last`.
struct KeyLease {
  std::int64_t first = 0;
  std::int64_t last = 0;
  std::int64_t until_ms = 0;
  std::int64_t fencing_token = 0;
};

// The fencing tokens with which each target was granted keys.
class TokenHistory {
 public:
  // Records a grant. Returns the target that had one of the keys with the same
  // or a greater token before; empty if none had.
  std::string Add(const std::string& target, const KeyLease& lease) {
    const auto conflict =
        std::find_if(m_grants.begin(), m_grants.end(), [&](const Grant& known) {
          return known.target != target && known.first <= lease.last &&
                 lease.first <= known.last &&
                 known.fencing_token >= lease.fencing_token;
        });
    std::string other;
    if (conflict != m_grants.end()) {
      other = conflict->target;
    }
    m_grants.insert({target, lease.first, lease.last, lease.fencing_token});
    return other;
  }

 private:
  struct Grant {
    std::string target;
    std::int64_t first = 0;
    std::int64_t last = 0;
    std::int64_t fencing_token = 0;

    bool operator<(const Grant& other) const {
      return std::tie(target, first, last, fencing_token) <
             std::tie(other.target, other.first, other.last,
                      other.fencing_token);
    }
  };

  std::set<Grant> m_grants;
};

// The key leases of each target, according to the events read so far.
class KeyLeases {
 public:
  // Removes the keys from `first` to `last` from the target's leases.
  void Remove(const std::string& target,
              std::int64_t first,
              std::int64_t last) {
    std::vector<KeyLease> rest;
    for (const KeyLease& lease : m_leases[target]) {
      if (lease.last < first || lease.first > last) {
        rest.push_back(lease);
        continue;
      }
      if (lease.first < first) {
        rest.push_back({lease.first, first - 1, lease.until_ms});
      }
      if (lease.last > last) {
        rest.push_back({last + 1, lease.last, lease.until_ms});
      }
    }
    m_leases[target] = std::move(rest);
  }

  // Adds a lease; it replaces the target's earlier leases on the same keys.
  void Add(const std::string& target, const KeyLease& lease) {
    Remove(target, lease.first, lease.last);
    m_leases[target].push_back(lease);
  }

  void RemoveTarget(const std::string& target) { m_leases.erase(target); }

  // Another target that has a lease on the key at time `ms`; empty if none has.
  std::string FindOtherHolder(const std::string& target,
                              std::int64_t key,
                              std::int64_t ms) const {
    for (const auto& [other, leases] : m_leases) {
      const bool holds_key =
          other != target &&
          std::any_of(leases.begin(), leases.end(), [&](const KeyLease& lease) {
            return lease.first <= key && key <= lease.last &&
                   lease.until_ms > ms + kClockToleranceMs;
          });
      if (holds_key) {
        return other;
      }
    }
    return {};
  }

 private:
  std::map<std::string, std::vector<KeyLease>> m_leases;
};

std::string StringField(const json::object& event, const char* name) {
  return std::string(event.at(name).as_string());
}

std::int64_t IntegerField(const json::object& event, const char* name) {
  return event.at(name).to_number<std::int64_t>();
}

// Replays the targets' events. Returns the number of runs of each request and
// adds a violation for each run of a key on which another target has a lease.
std::map<std::string, int> CountRuns(const std::vector<std::string>& events,
                                     std::vector<std::string>& violations) {
  std::map<std::string, int> runs;
  KeyLeases leases_by_target;
  TokenHistory tokens;
  for (const std::string& line : events) {
    const json::object event = json::parse(line).as_object();
    const std::string kind = StringField(event, "event");
    const std::string target = StringField(event, "target");
    if (kind == "grant") {
      const KeyLease lease{
          IntegerField(event, "first"), IntegerField(event, "last"),
          IntegerField(event, "until_ms"), IntegerField(event, "fence")};
      leases_by_target.Add(target, lease);
      // An expired lease is that of a target which was stopped meanwhile.
      const std::string other = lease.until_ms > IntegerField(event, "ms")
                                    ? tokens.Add(target, lease)
                                    : std::string();
      if (!other.empty()) {
        std::string line = "token ";
        line.append(std::to_string(lease.fencing_token)).append(" of ");
        line.append(target).append(" for keys from ");
        line.append(std::to_string(lease.first));
        line.append(" is not above that of ").append(other);
        violations.push_back(std::move(line));
      }
    } else if (kind == "release") {
      leases_by_target.Remove(target, IntegerField(event, "first"),
                              IntegerField(event, "last"));
    } else if (kind == "dead") {
      leases_by_target.RemoveTarget(target);
    } else if (kind == "begin") {
      ++runs[StringField(event, "id")];
      const std::int64_t key = IntegerField(event, "key");
      const std::string other =
          key < 0 ? std::string()
                  : leases_by_target.FindOtherHolder(target, key,
                                                     IntegerField(event, "ms"));
      if (!other.empty()) {
        std::string line = "two owners: ";
        line.append(target).append(" ran key ").append(std::to_string(key));
        line.append(" while ").append(other).append(" held its lease");
        violations.push_back(std::move(line));
      }
    }
  }
  return runs;
}

// Whether the gateway answers with this status only if the request did not run.
bool MeansNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

std::vector<std::string> CheckSoak(const std::vector<SoakRequest>& requests,
                                   const std::vector<std::string>& events) {
  std::vector<std::string> violations;
  const std::map<std::string, int> runs = CountRuns(events, violations);
  std::set<std::string> ids;
  for (const SoakRequest& request : requests) {
    ids.insert(request.id);
    const auto found = runs.find(request.id);
    const int count = found == runs.end() ? 0 : found->second;
    if (!request.idempotent && count > 1) {
      violations.push_back("ran more than once: " + request.id);
    }
    if (!request.idempotent && MeansNotExecuted(request.status) && count > 0) {
      violations.push_back("refused as not run, but ran: " + request.id);
    }
    if (request.status == 200 &&
        (!request.matches || !request.signed_by_target || count == 0)) {
      violations.push_back("status 200 without a matching run at a target: " +
                           request.id);
    }
  }
  for (const auto& [id, count] : runs) {
    if (!ids.contains(id)) {
      violations.push_back("ran but was never sent: " + id);
    }
  }
  return violations;
}

}  // namespace snipehall::test
