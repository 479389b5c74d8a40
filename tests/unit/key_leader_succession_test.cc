#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "coordination/key_leader.h"

#include <criterion/criterion.h>

// What a leader knows of the grants that other leaders, and other processes of
// its own instance, sent before it.

namespace snipehall {
namespace {

constexpr const char* kService = "catalog";
constexpr const char* kSelf = "entry-1";
constexpr Incarnation kProcess = 101;
constexpr Incarnation kFormerProcess = 102;
constexpr Incarnation kFirstLeader = 201;
constexpr Milliseconds kStep{100};
// No leader before this one can have sent grants that last longer.
constexpr Milliseconds kLongestWait =
    KeyLeader::kLeaderLeaseDuration + KeyLeader::kLongGrantDuration;

// A table in which "entry-0" (process kFirstLeader) leads and targets "a" and
// "b" own half of the keys each.
KeyTable FirstTable() {
  KeyTable table;
  table.leader = "entry-0";
  table.leader_incarnation = kFirstLeader;
  table.leader_address = "127.0.0.1:7000";
  table.term = 1;
  table.fencing_token = 2;
  const KeyNumber middle = kLastKey / 2;
  table.services[kService] = {{0, middle, "a", 1, 1, ""},
                              {middle + 1, kLastKey, "b", 1, 2, ""}};
  return table;
}

// The version with which a process of an instance takes over from `table`.
KeyTable TakenOver(KeyTable table, InstanceId leader, Incarnation incarnation) {
  table.leader = std::move(leader);
  table.leader_incarnation = incarnation;
  ++table.term;
  return table;
}

// A process of instance "entry-1" that starts while target "a" is no longer
// listed but may still hold its keys.
class StartedProcess {
 public:
  StartedProcess() {
    m_leader.SetKeyedServices({{kService, 0}});
    ListedTarget target;
    target.id = "b";
    target.service = kService;
    target.address = "127.0.0.1:8000";
    target.start_time_ms = 1;
    m_leader.OnTargets(m_now, {{target.id, target}});
  }

  void BeginEra(LogEra era) { m_leader.OnLogEra(m_now, era, false); }
  void Read(const KeyTable& table) {
    m_leader.OnTable(m_now, table);
    m_leader.OnConfirmed(m_now);
  }
  // Returns the version with which this process takes over.
  KeyTable NextTable() {
    auto next = m_leader.NextTable(m_now, true);
    cr_assert(next.has_value());
    return *std::move(next);
  }
  void Receive(std::uint64_t term,
               Incarnation incarnation,
               Milliseconds remaining_grant_time) {
    m_leader.OnLeaderReplaced(m_now, {term, remaining_grant_time, incarnation});
  }

  // Runs this process with a responsive log and target, for at most `time`.
  // Returns the time until keys of "a" were granted to "b", or `time`.
  Milliseconds TimeToReassign(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      m_now += kStep;
      m_leader.OnConfirmed(m_now);
      const bool take_over = m_leader.ShouldTakeOver(m_now);
      if (auto next = m_leader.NextTable(m_now, take_over)) {
        m_leader.OnTable(m_now, *std::move(next));
      }
      for (const KeyOrder& order : m_leader.TakeDueOrders(m_now)) {
        if (order.kind == KeyOrder::Kind::kGrant && order.first == 0) {
          return passed;
        }
        m_leader.OnOrderResult(m_now, order, {KeyOrderOutcome::kDone, 200, ""});
      }
    }
    return time;
  }

  KeyLeader& leader() { return m_leader; }
  MonotonicTime now() const { return m_now; }

 private:
  MonotonicTime m_now = MonotonicTime(std::chrono::hours(1));
  KeyLeader m_leader{kSelf, kProcess, "127.0.0.1:7001"};
};

// Requires that the report of "entry-0", the leader before the former process
// of this instance, does not end the wait for the grants of that process.
void RequireLateReportIgnored(StartedProcess& process) {
  process.Receive(2, kFirstLeader, Milliseconds(200));
  cr_assert_eq(process.TimeToReassign(Milliseconds(500)).count(), 500);
  process.Receive(2, kFirstLeader, Milliseconds(0));
  process.Receive(process.leader().table().term, kFirstLeader, Milliseconds(0));
  const Milliseconds rest = kLongestWait - Milliseconds(500);
  cr_assert_eq(process.TimeToReassign(rest).count(), rest.count(),
               "keys were granted before the former process' grants expired");
  cr_assert_lt(process.TimeToReassign(Milliseconds(2000)).count(), 2000,
               "keys stay without an owner");
}

// Guards against two owners of a key: a leader's process starts again, and the
// leader before it, which knows nothing of the grants of the former process,
// reports that its own have expired.
Test(key_leader_succession, late_report_does_not_cover_the_former_process) {
  StartedProcess process;
  process.Read(TakenOver(FirstTable(), kSelf, kFormerProcess));
  RequireLateReportIgnored(process);
}

// The same where the new process reads an older version first, from a relay or
// record by record.
Test(key_leader_succession, late_report_is_ignored_after_an_older_table) {
  StartedProcess process;
  process.Read(FirstTable());
  process.Read(TakenOver(FirstTable(), kSelf, kFormerProcess));
  RequireLateReportIgnored(process);
}

// The same where the report arrives before the version that names the instance.
Test(key_leader_succession, early_report_does_not_cover_the_former_process) {
  StartedProcess process;
  process.Read(FirstTable());
  process.Receive(2, kFirstLeader, Milliseconds(0));
  process.Read(TakenOver(FirstTable(), kSelf, kFormerProcess));
  RequireLateReportIgnored(process);
}

// The same where the log counts its restores.
Test(key_leader_succession, late_report_is_ignored_in_an_era_of_the_log) {
  StartedProcess process;
  process.BeginEra(kFirstLogEra);
  KeyTable first = FirstTable();
  first.era = kFirstLogEra;
  process.Read(first);
  process.Read(TakenOver(first, kSelf, kFormerProcess));
  RequireLateReportIgnored(process);
}

// Guards against two owners of a key: a leader that was suspended while two
// others took over one after the other reports to the second.
Test(key_leader_succession, late_report_does_not_cover_a_later_leader) {
  StartedProcess process;
  process.Read(TakenOver(FirstTable(), "entry-2", 301));
  process.Read(process.NextTable());
  cr_assert(process.leader().IsNamedLeader());
  RequireLateReportIgnored(process);
}

// Guards against two owners of a key: earlier builds do not say which process
// reports.
Test(key_leader_succession, report_without_a_process_is_ignored) {
  StartedProcess process;
  KeyTable table = FirstTable();
  table.leader_incarnation = 0;
  process.Read(table);
  process.Read(process.NextTable());
  process.Receive(2, 0, Milliseconds(0));
  cr_assert_eq(process.TimeToReassign(kLongestWait).count(),
               kLongestWait.count());
}

// Guards against a longer time without an owner than necessary: the report of
// the predecessor covers all grants.
Test(key_leader_succession, report_of_the_predecessor_ends_the_wait) {
  StartedProcess process;
  process.Read(FirstTable());
  process.Read(process.NextTable());
  process.Receive(2, kFirstLeader, Milliseconds(1000));
  const Milliseconds time = process.TimeToReassign(kLongestWait);
  cr_assert_geq(time.count(), 900);
  cr_assert_leq(time.count(), 1200);
}

// The same where the report arrives before the response to the append, or that
// response is lost and the process reads its own version.
Test(key_leader_succession, early_report_of_the_predecessor_ends_the_wait) {
  StartedProcess process;
  process.Read(FirstTable());
  const KeyTable next = process.NextTable();
  process.Receive(2, kFirstLeader, Milliseconds(1000));
  process.Read(next);
  const Milliseconds time = process.TimeToReassign(kLongestWait);
  cr_assert_geq(time.count(), 900);
  cr_assert_leq(time.count(), 1200);
}

// Guards against two leaders in one term: what the former process of this
// instance began is not continued but replaced at once.
Test(key_leader_succession, new_process_begins_a_new_term) {
  StartedProcess process;
  const KeyTable table = TakenOver(FirstTable(), kSelf, kFormerProcess);
  process.Read(table);
  cr_assert_not(process.leader().IsLeader(process.now()));
  cr_assert(process.leader().TakeDueOrders(process.now()).empty());
  cr_assert(process.leader().ShouldTakeOver(process.now()));
  process.Read(process.NextTable());
  cr_assert(process.leader().IsLeader(process.now()));
  cr_assert_eq(process.leader().table().term, table.term + 1);
  cr_assert_not(process.leader().ShouldTakeOver(process.now()));
}

// Guards against two processes of an instance that replace each other forever:
// one that has led does not take the other for its former process.
Test(key_leader_succession, replaced_process_leaves_the_lead_to_a_later_one) {
  StartedProcess process;
  process.Read(FirstTable());
  process.Read(process.NextTable());
  const KeyTable table = process.leader().table();
  process.Read(TakenOver(table, kSelf, kFormerProcess));
  cr_assert(process.leader().TakeDueOrders(process.now()).empty());
  cr_assert_not(process.leader().NextTable(process.now(), false));
  cr_assert_not(process.leader().ShouldTakeOver(process.now()));
}

}  // namespace
}  // namespace snipehall
