#pragma once

#include <cstdint>
#include <random>
#include <string_view>

#include "state/types.h"

namespace snipehall {

// Failure detector of the leader: decides when this instance tries to become
// the leader, which is when several reports in a row were not answered or the
// leader answered that it does not serve.
//
// It counts reports instead of measuring time, since an instance that was
// suspended sent none in that time. Each instance waits for a random number of
// further reports, so that not all try at once; the conditional append to the
// log lets one of them succeed.
class LeaderFailureDetector {
 public:
  // Number of consecutive unanswered reports after which the leader counts as
  // failed.
  static constexpr int kMaxUnansweredReports = 3;

  // Additional reports for which an instance waits when another one has a much
  // faster link, which suits the leader better: it sends every table to the
  // other instances, and orders to all targets.
  static constexpr int kSlowLinkReports = 2;

  // Range of the random delay, in reports, before the first attempt when there
  // is no leader yet.
  static constexpr int kInitialJitterReports = 4;

  // `seed` is for the random delays and must differ between instances.
  explicit LeaderFailureDetector(std::uint64_t seed)
      : m_random(seed),
        m_jitter_reports(static_cast<int>(m_random() % kInitialJitterReports)) {
  }

  // Call when the newest key table names `leader`; restarts the count if it is
  // another one.
  void OnLeader(std::string_view leader);
  // Call for each report that was sent to the leader, or would be if there were
  // one.
  void OnReportSent() { ++m_unanswered; }
  // Call when the instance `from` answered a report as the leader. `faster`:
  // another instance has a much faster link than this one.
  void OnServing(std::string_view from, bool faster);
  // Call when the instance `from` answered that it is not the leader.
  void OnNotServing(std::string_view from);

  // Whether this instance should try to take over now.
  bool ShouldTakeOver() const {
    const int unanswered = m_leader.empty() ? 0 : kMaxUnansweredReports;
    const int slow = m_faster ? kSlowLinkReports : 0;
    return m_unanswered > unanswered + m_jitter_reports + slow;
  }

 private:
  void Reset();

  std::mt19937_64 m_random;
  InstanceId m_leader;
  int m_unanswered = 0;
  int m_jitter_reports = 0;
  bool m_faster = false;
};

}  // namespace snipehall
