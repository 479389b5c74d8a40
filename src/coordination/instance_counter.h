#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "state/types.h"

namespace snipehall {

// Counts the instances of the deployment. The leader counts those that report
// to it and tells them the number; the others keep what the leader told them
// last. Quantities that all instances share are divided by it, so it errs on
// the high side.
class InstanceCounter {
 public:
  // An instance counts for this long after its last report. Longer than a
  // restart takes.
  static constexpr Milliseconds kReportLifetime{5000};
  // A leader that nobody told the number does not know it until it has counted
  // for this long, several report intervals.
  static constexpr Milliseconds kSettleTime{1500};

  // Call for each report that this instance receives as the leader, and for its
  // own.
  void OnReport(MonotonicTime now, std::string_view instance);
  // Call with the number, above zero, that the leader counted.
  void OnLeaderCount(int count);

  // Returns the number of instances, or nothing while it is not known. A new
  // leader returns at least the number that its predecessor told it, until it
  // had kReportLifetime to count.
  std::optional<int> Count(MonotonicTime now) const;

 private:
  // Time of the last report of each instance.
  std::map<InstanceId, MonotonicTime, std::less<>> m_reports;
  // When the first of them arrived.
  MonotonicTime m_counting_since;
  int m_leader_count = 0;
};

}  // namespace snipehall
