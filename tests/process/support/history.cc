#include "process/support/history.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <fstream>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "state/hash_range.h"

namespace snipehall::test {

namespace {

namespace json = boost::json;

constexpr std::size_t kMaxQuotedViolations = 10;

std::string StringField(const json::object& object, std::string_view name) {
  return std::string(object.at(name).as_string());
}

ExecutedRequest ParseLine(const json::object& line) {
  ExecutedRequest request;
  request.target = StringField(line, "target");
  request.incarnation = StringField(line, "incarnation");
  request.id = StringField(line, "id");
  request.state = StringField(line, "state");
  request.start_us = line.at("start_us").to_number<std::int64_t>();
  request.end_us =
      std::max(request.start_us, line.at("end_us").to_number<std::int64_t>());
  request.keyed = line.contains("hash");
  if (request.keyed) {
    request.hash = ParseHex(StringField(line, "hash")).value();
    request.token = ParseHex(StringField(line, "token")).value();
  }
  return request;
}

// Adds the executions of one file. The line written at the end of an execution
// replaces the line written at its start.
void ReadFile(const std::string& path, std::vector<ExecutedRequest>& history) {
  std::ifstream file(path);
  std::map<std::tuple<std::string, std::string, std::int64_t>, std::size_t>
      running;
  std::string text;
  while (std::getline(file, text)) {
    boost::system::error_code failure;
    const json::value line = json::parse(text, failure);
    if (failure && file.eof()) {
      return;
    }
    Require(!failure, path + " contains a malformed line");
    ExecutedRequest request = ParseLine(line.as_object());
    const std::tuple key(request.incarnation, request.id, request.start_us);
    const auto start = running.find(key);
    if (start != running.end()) {
      history[start->second] = std::move(request);
      running.erase(start);
    } else {
      running.emplace(key, history.size());
      history.push_back(std::move(request));
    }
  }
}

std::string Describe(const ExecutedRequest& request) {
  return request.id + " at " + request.target + " (incarnation " +
         request.incarnation + ", hash " + ToHex(request.hash) + ", token " +
         std::to_string(request.token) + ", " +
         std::to_string(request.start_us) + " to " +
         std::to_string(request.end_us) + " us)";
}

bool HaveSameOwner(const ExecutedRequest& left, const ExecutedRequest& right) {
  return left.target == right.target && left.incarnation == right.incarnation;
}

// Checks two executions for the same hash, of which `earlier` started first: it
// is either the one started just before `later` or, of all that started before
// `later`, the one that ended last.
void CheckPair(const ExecutedRequest& earlier,
               const ExecutedRequest& later,
               std::vector<std::string>& violations) {
  const std::string pair = Describe(earlier) + " and " + Describe(later);
  if (!HaveSameOwner(earlier, later) && later.start_us < earlier.end_us) {
    violations.push_back("two owners at the same time: " + pair);
  }
  if (later.token < earlier.token) {
    violations.push_back("the fencing token decreased: " + pair);
  }
  if (later.token == earlier.token && later.target != earlier.target) {
    violations.push_back("two targets used the same fencing token: " + pair);
  }
}

}  // namespace

std::vector<ExecutedRequest> ReadHistory(std::span<const std::string> files) {
  std::vector<ExecutedRequest> history;
  for (const std::string& file : files) {
    ReadFile(file, history);
  }
  return history;
}

std::vector<std::string> CheckOwners(std::vector<ExecutedRequest> history) {
  std::sort(history.begin(), history.end(),
            [](const ExecutedRequest& left, const ExecutedRequest& right) {
              return left.start_us < right.start_us;
            });
  std::vector<std::string> violations;
  // Per hash: the previous execution, and the one that ended last so far.
  struct LastExecutions {
    const ExecutedRequest* before = nullptr;
    const ExecutedRequest* latest_end = nullptr;
  };
  std::unordered_map<std::uint64_t, LastExecutions> last_by_hash;
  for (const ExecutedRequest& request : history) {
    if (!request.keyed || !request.HadEffect()) {
      continue;
    }
    LastExecutions& last = last_by_hash[request.hash];
    if (last.before != nullptr) {
      CheckPair(*last.before, request, violations);
      if (last.latest_end != last.before) {
        CheckPair(*last.latest_end, request, violations);
      }
    }
    last.before = &request;
    if (last.latest_end == nullptr ||
        last.latest_end->end_us <= request.end_us) {
      last.latest_end = &request;
    }
  }
  return violations;
}

std::vector<std::string> CheckOutcomes(std::span<const ExecutedRequest> history,
                                       const TrafficReport& report,
                                       bool idempotent) {
  std::unordered_map<std::string, int> runs;
  std::vector<std::string> violations;
  for (const ExecutedRequest& request : history) {
    if (!request.HadEffect()) {
      continue;
    }
    if (++runs[request.id] == 2 && !idempotent) {
      violations.push_back("ran more than once: " + Describe(request));
    }
  }
  for (const auto& [id, target] : report.answered_by) {
    if (!runs.contains(id)) {
      violations.push_back(std::string("answered by ")
                               .append(target)
                               .append(" but never ran: ")
                               .append(id));
    }
  }
  for (const std::string& id : report.refused_ids) {
    if (runs.contains(id)) {
      violations.push_back("refused as not run, but ran: " + id);
    }
  }
  return violations;
}

void RequireNoViolations(std::span<const std::string> violations) {
  if (violations.empty()) {
    return;
  }
  std::string text = std::to_string(violations.size()) + " violations";
  for (std::size_t i = 0; i < std::min(violations.size(), kMaxQuotedViolations);
       ++i) {
    text += "\n  " + violations[i];
  }
  throw TestFailure(text);
}

}  // namespace snipehall::test
