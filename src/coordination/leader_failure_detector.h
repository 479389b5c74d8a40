#pragma once

#include <cstdint>
#include <random>
#include <string_view>

#include "state/types.h"

namespace snipehall {

// Failure detector of the leader. Runs on every instance that is not the leader
// and decides when it tries to become the leader: when several reports in a row
// were not answered, when the leader declined one, or when no leader is known.
//
// It counts reports instead of measuring time, since an instance that was
// suspended sent none in that time. Each instance waits for a random number of
// further reports, so that not all try at once; the conditional append to the
// log lets one of them succeed.
class LeaderFailureDetector {
 public:
  // Number of consecutive unanswered reports after which the leader counts as
  // failed. The newest report does not count, since there was no time to answer
  // it.
  static constexpr int kMaxUnansweredReports = 3;

  // Additional reports for which an instance waits when another one has a much
  // faster network link. A fast link is preferred for the leader, because it
  // relays the log to its zone and sends orders to all targets.
  static constexpr int kSlowLinkReports = 2;

  // Additional reports for which an instance waits that reaches no target,
  // since its orders would not arrive.
  static constexpr int kCutOffReports = 5;

  // The random delay is 0 to kInitialJitterReports - 1 reports while no leader
  // is known, and 0 or 1 report later.
  static constexpr int kInitialJitterReports = 4;

  // `seed` is for the random delays and must differ between instances.
  explicit LeaderFailureDetector(std::uint64_t seed)
      : m_random(seed),
        m_jitter_reports(static_cast<int>(m_random() % kInitialJitterReports)) {
  }

  // Call when the newest key table names `leader`; restarts the count if it is
  // another one than before.
  void OnLeader(std::string_view leader);
  // Call once per report interval, after the report was sent to the leader;
  // also when no leader is known to send it to.
  void OnReportSent() { ++m_unanswered; }
  // Call when the instance `from` answered a report as the leader. `faster`
  // tells whether another instance has a much faster network link than this
  // one; see RelayPlanner::IsMuchFaster().
  void OnServing(std::string_view from, bool faster);
  // Call when the instance `from` declined a report: it is not the leader, the
  // log has not confirmed it as the leader recently, it is shutting down, it
  // reaches no target and this instance does, or the link of this instance is
  // much faster than its own.
  void OnNotServing(std::string_view from);

  // Sets whether this instance reaches no target.
  void set_cut_off(bool cut_off) { m_cut_off = cut_off; }

  // Whether this instance should try to take over now. True until an attempt
  // succeeds here or elsewhere, or the leader answers again.
  bool ShouldTakeOver() const {
    const int unanswered = m_leader.empty() ? 0 : kMaxUnansweredReports;
    const int slow = m_faster ? kSlowLinkReports : 0;
    const int cut_off = m_cut_off ? kCutOffReports : 0;
    return m_unanswered > unanswered + m_jitter_reports + slow + cut_off;
  }

 private:
  void Reset();

  std::mt19937_64 m_random;
  InstanceId m_leader;
  int m_unanswered = 0;
  int m_jitter_reports = 0;
  bool m_faster = false;
  bool m_cut_off = false;
};

}  // namespace snipehall
