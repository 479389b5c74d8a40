#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/key_load.h"
#include "coordination/key_planner.h"
#include "coordination/lead_message.h"
#include "state/key_table.h"
#include "state/target_list.h"
#include "state/types.h"

namespace snipehall {

// An order to a target about a range of keys.
struct KeyOrder {
  enum class Kind {
    kGrant,
    kRelease,
    // Asks a silent target whether it answers again.
    kProbe,
  };

  Kind kind = Kind::kGrant;
  TargetId target;
  std::string address;
  KeyNumber first = 0;
  KeyNumber last = 0;
  FenceToken fence = 0;
  // How long the target holds the keys from the arrival of a grant on.
  Milliseconds hold{0};
  // What the last owner gave out at its release, so that the new one starts
  // with its state; empty without one.
  std::string handover;
};

// How an order ended.
enum class KeyOrderOutcome {
  kDone,
  kFenced,    // The target has seen a greater token.
  kRejected,  // It answered with another failure, so it has not obeyed.
  kGone,      // Another target answered at the address: this one has ended.
  kNotSent,   // No connection could be made. A cut link looks like an ended
              // process, so this proves nothing about the target.
  kUnknown,   // It may have been obeyed, or may yet be.
};

std::string_view ToString(KeyOrderOutcome outcome);

struct KeyOrderResult {
  KeyOrderOutcome outcome = KeyOrderOutcome::kUnknown;
  // The target's own code for it, for logs; zero without an answer.
  unsigned status = 0;
  // From the answer to a release.
  std::string handover;
};

// Decides what the lead orders the targets, and which versions of the key
// table it appends. The lead is the instance that the newest table names.
//
// A key has one owner at any moment, for these reasons:
// - Each version of the table is appended on condition that no other version
//   came since, and tokens only grow from version to version.
// - The lead grants keys to a new owner only when the previous one has
//   answered a release that carries the new token, when it has started anew or
//   ended, or when every grant that any lead can have sent it has lapsed.
// - A lead sends orders only while its last read of the log that confirmed it
//   is younger than kLeadLease; a new lead counts the grants of its predecessor
//   from kLeadLease after its own append.
class KeyLead {
 public:
  // How long a confirmation lasts. Longer than two of the lead's reads of the
  // log, so that one slow read does not stop it.
  static constexpr Milliseconds kLeadLease{2500};
  // Hold of a grant: more than the time in which a new lead takes over. Keys of
  // a lost target wait for its end.
  static constexpr Milliseconds kHold{4000};
  // Hold while the log does not answer, since no other lead can follow until it
  // is back: with kLeadLease it covers an outage of nine seconds. A longer one
  // would keep the keys of targets that are lost meanwhile for longer.
  static constexpr Milliseconds kLongHold{7000};
  // Age of the lead's confirmation from which on the log counts as silent:
  // longer than a read of the log waits.
  static constexpr Milliseconds kLogSilence{1300};
  // Age of the lead's confirmation from which on keys with a short hold are
  // granted a long one without waiting for their renewal, which may come too
  // late: some time before the end of kLeadLease.
  static constexpr Milliseconds kLastChance{1900};
  // Time between two grants of the same keys.
  static constexpr Milliseconds kRenewal{1200};
  // An order that failed is repeated after this long.
  static constexpr Milliseconds kRetry{300};
  // Time between two probes of a silent target.
  static constexpr Milliseconds kProbeInterval{500};
  // Time between two plans that balance the load of keys.
  static constexpr Milliseconds kBalanceInterval{500};
  // Least time between two versions that only note which moves have ended. The
  // instances are told of them by datagram; every version is read by all, and
  // each read is priced.
  static constexpr Milliseconds kSettlementInterval{2000};
  // A target's clock may run 2% slow, as the platform states.
  static constexpr double kDrift = 1.02;
  // Time an order may be on its way.
  static constexpr Milliseconds kOrderLimit{1000};
  // The list of targets must not have changed for this long before the first
  // keys of a service are assigned, so that no target is left out.
  static constexpr Milliseconds kSettleTime{1200};

  // `address` is where this instance takes reports of load while it is the
  // lead.
  KeyLead(InstanceId self, std::string address)
      : m_self(std::move(self)), m_address(std::move(address)) {}

  // How long the grants of this instance last at most.
  Milliseconds LongestGrant(MonotonicTime now) const;

  // The predecessor of this lead said how long its grants last.
  void OnPredecessor(MonotonicTime now, const LeadReplaced& replaced);

  // A new version of the table was read from the log, or appended by this
  // instance.
  void OnTable(MonotonicTime now, KeyTable table);

  // A read of the log that began at `began` showed no version newer than the
  // known one.
  void OnConfirmed(MonotonicTime began);

  void OnTargets(MonotonicTime now, const TargetList& targets);

  // Services whose requests belong to keys.
  void SetKeyedServices(std::set<ServiceName, std::less<>> services);

  // An instance, or this one, reported the load of keys.
  void OnLoad(MonotonicTime now, const KeyLoadReport& report) {
    m_loads[report.service].OnReport(now, report);
  }

  // The data path could not connect to a target.
  void OnTargetUnreachable(MonotonicTime now, std::string_view target);

  // An order has ended.
  void OnOrderDone(MonotonicTime now,
                   const KeyOrder& order,
                   const KeyOrderResult& result);

  // The next version to append, or nothing. Only for the lead, or with
  // `take_over`, for an instance that is to become the lead.
  std::optional<KeyTable> NextTable(MonotonicTime now, bool take_over);

  // Orders that are due; each must be reported by OnOrderDone().
  std::vector<KeyOrder> TakeOrders(MonotonicTime now);

  // Tokens of the ranges that the table shows as moving and that their new
  // owners were granted, in order.
  std::vector<FenceToken> EndedMoves() const;

  const KeyTable& table() const { return m_table; }
  bool IsNamedLead() const { return m_table.lead == m_self; }
  // Named by the newest table and confirmed recently.
  bool IsLead(MonotonicTime now) const {
    return IsNamedLead() && now < m_confirmed_at + kLeadLease;
  }

 private:
  using RangeId = std::pair<ServiceName, KeyNumber>;

  // What the lead knows of a range of the table.
  struct RangeState {
    FenceToken fence = 0;
    KeyNumber last = 0;
    MonotonicTime next_order;
    bool in_flight = false;
    bool granted = false;
    // The last grant had the long hold.
    bool held_long = false;
    // Earlier owners that may still hold keys of the range: the one that the
    // table names, and those of an older table that got a grant while the newer
    // one was on its way.
    std::vector<TargetId> earlier;
    // The target has seen a greater token: another lead is at work.
    bool fenced = false;
    std::string handover;
  };

  const ListedTarget* FindKnown(std::string_view target) const;
  bool IsGone(std::string_view target) const;
  // Whether the target may still hold keys that it was granted.
  bool MayHold(MonotonicTime now, const KeyAssignment& range) const;
  std::vector<KeyCandidate> Candidates(std::string_view service) const;
  // The first earlier owner that may still hold keys of the range, or null.
  const TargetId* FindHolder(MonotonicTime now, const RangeState& state) const;
  // The earlier owners of a range of a new table.
  std::vector<TargetId> EarlierOwners(
      MonotonicTime now,
      const KeyAssignment& range,
      std::span<const KeyAssignment> old_ranges) const;
  // Whether an order about the range is due.
  bool IsDue(MonotonicTime now, const RangeState& state) const;
  bool IsSilent(std::string_view target) const {
    return m_next_probe.contains(target);
  }
  void AddProbes(MonotonicTime now, std::vector<KeyOrder>& orders);
  void NoteAnswer(MonotonicTime now,
                  std::string_view target,
                  KeyOrderOutcome outcome);
  // A grant to the target has ended.
  void NoteGrantEnd(MonotonicTime now,
                    const KeyOrder& order,
                    KeyOrderOutcome outcome);
  // Whether a grant by this lead may last, or be on its way.
  bool IsHeld(MonotonicTime now, std::string_view target) const;
  // What is known of the range that begins where this one does, or null.
  const RangeState* FindState(const ServiceName& service,
                              const KeyAssignment& range) const;
  // Whether the new owner of a moving range was granted it.
  bool HasEnded(const ServiceName& service, const KeyAssignment& range) const;
  // Notes in the table which moves have ended.
  bool SettleMoves(KeyTable& next) const;
  // Makes one range of neighbours with the same owner, so that the table stays
  // short while ranges are divided.
  void MergeRanges(KeyTable& next) const;
  // Whether this lead has granted the range to its owner, so that nobody else
  // may hold a key of it.
  bool IsSettled(const ServiceName& service, const KeyAssignment& range) const;
  // Gives new tokens to ranges whose own is too low.
  bool RaiseTokens(KeyTable& next) const;
  bool PlanService(MonotonicTime now,
                   const ServiceName& service,
                   KeyTable& next) const;
  bool BalanceService(MonotonicTime now,
                      const ServiceName& service,
                      KeyTable& next) const;
  std::vector<KeyCandidate> AnsweringCandidates(
      MonotonicTime now,
      std::string_view service,
      std::span<const KeyAssignment> ranges) const;

  InstanceId m_self;
  std::string m_address;
  KeyTable m_table;
  bool m_has_table = false;
  MonotonicTime m_confirmed_at;
  TargetList m_targets;
  // Every target that was listed since the start: one that is not listed any
  // more may still hold keys.
  TargetList m_known;
  MonotonicTime m_targets_changed_at;
  std::set<ServiceName, std::less<>> m_services;
  std::map<RangeId, RangeState> m_ranges;
  std::map<ServiceName, KeyLoad, std::less<>> m_loads;
  MonotonicTime m_balance_at;
  // When ended moves may be noted again.
  MonotonicTime m_settlement_at;
  // When the last grant that a target may have lapses, and the grants that are
  // on their way.
  std::map<TargetId, MonotonicTime, std::less<>> m_held_until;
  std::map<TargetId, int, std::less<>> m_grants_in_flight;
  // Targets that left an order unanswered, with the time of the next probe.
  // They get no grants until they answer, so that their last one lapses.
  std::map<TargetId, MonotonicTime, std::less<>> m_next_probe;
  // Until when grants of earlier leads may last.
  MonotonicTime m_earlier_until;
  // What the predecessor said of them, with the term that it named.
  std::uint64_t m_replaced_term = 0;
  MonotonicTime m_replaced_until;
  // Targets that have ended, by the start of their process.
  std::map<TargetId, std::int64_t, std::less<>> m_gone;
};

}  // namespace snipehall
