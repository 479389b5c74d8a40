#include "coordination/key_admission_planner.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace snipehall {

namespace {

// Request rates of keys, requests per second.
using KeyRates = std::vector<std::pair<KeyNumber, double>>;

bool HasLowerRate(const KeyRates::value_type& left,
                  const KeyRates::value_type& right) {
  return left.second < right.second;
}

// Returns the rate that each key may have at most, so that all together have
// no more than `capacity`; `rates` are in ascending order of the rates. Only
// called when they have more.
double FairRate(const KeyRates& rates, double capacity) {
  double left = capacity;
  for (std::size_t i = 0; i < rates.size(); ++i) {
    const double share = left / static_cast<double>(rates.size() - i);
    if (rates[i].second > share) {
      return share;
    }
    left -= rates[i].second;
  }
  return rates.back().second;
}

// Adds the keys of an owner that have more requests than it can serve.
void AddBusyKeys(KeyRates& rates, double capacity, KeyFractions& busy) {
  double total = 0;
  for (const auto& [key, rate] : rates) {
    total += rate;
  }
  if (total <= capacity) {
    return;
  }
  std::sort(rates.begin(), rates.end(), HasLowerRate);
  const double fair = FairRate(rates, capacity);
  for (const auto& [key, rate] : rates) {
    if (rate > fair) {
      busy.emplace(key, fair / rate);
    }
  }
}

// Keeps the kMaxKeys busiest keys.
void Truncate(KeyFractions& busy) {
  if (busy.size() <= KeyAdmissionPlanner::kMaxKeys) {
    return;
  }
  std::vector<std::pair<double, KeyNumber>> keys;
  keys.reserve(busy.size());
  for (const auto& [key, fraction] : busy) {
    keys.emplace_back(fraction, key);
  }
  const auto first_dropped = keys.begin() + KeyAdmissionPlanner::kMaxKeys;
  std::nth_element(keys.begin(), first_dropped, keys.end());
  std::for_each(first_dropped, keys.end(),
                [&busy](const auto& item) { busy.erase(item.second); });
}

}  // namespace

KeyFractions KeyAdmissionPlanner::Plan(MonotonicTime now,
                                       std::span<const KeyAssignment> ranges,
                                       std::span<const KeyCandidate> owners,
                                       const KeyLoad& load) {
  std::map<std::string_view, KeyRates> rates_by_owner;
  for (const KeyAssignment& range : ranges) {
    KeyRates& rates = rates_by_owner[range.owner];
    for (const auto& rate : load.Rates(now, range.first, range.last)) {
      rates.push_back(rate);
    }
  }
  KeyFractions busy;
  for (const KeyCandidate& owner : owners) {
    const auto found = rates_by_owner.find(owner.id);
    if (found == rates_by_owner.end() || found->second.empty()) {
      continue;
    }
    const double capacity =
        kMaxUtilization * owner.slots / load.ServiceSeconds(owner.id);
    AddBusyKeys(found->second, capacity, busy);
  }
  Truncate(busy);
  return busy;
}

}  // namespace snipehall
