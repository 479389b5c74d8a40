#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/key_planner.h"
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
  kDead,      // The connection was refused: the target's process is gone.
  kUnknown,   // It may have been obeyed, or may yet be.
};

struct KeyOrderResult {
  KeyOrderOutcome outcome = KeyOrderOutcome::kUnknown;
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
//   answered a release that carries the new token, when its process is known
//   to be gone, or when every grant that any lead can have sent it has lapsed.
// - A lead sends orders only while its last read of the log that confirmed it
//   is younger than kLeadLease; a new lead counts the grants of its predecessor
//   from kLeadLease after its own append.
class KeyLead {
 public:
  // How long a confirmation lasts. Longer than two of the lead's reads of the
  // log, so that one slow read does not stop it.
  static constexpr Milliseconds kLeadLease{2500};
  // Hold of a grant: longer than a lead takes to be replaced, and than the
  // usual cut of a zone or outage of the log.
  static constexpr Milliseconds kHold{8000};
  // Time between two grants of the same keys.
  static constexpr Milliseconds kRenewal{1500};
  // An order that failed is repeated after this long.
  static constexpr Milliseconds kRetry{300};
  // Time between two probes of a silent target.
  static constexpr Milliseconds kProbeInterval{500};
  // A target's clock may run 2% slow, as the platform states.
  static constexpr double kDrift = 1.02;
  // Time an order may be on its way.
  static constexpr Milliseconds kOrderLimit{1000};
  // The list of targets must not have changed for this long before the first
  // keys of a service are assigned, so that no target is left out.
  static constexpr Milliseconds kSettleTime{1200};
  // A target whose connection was refused is not trusted with keys for this
  // long, unless it reports a new start.
  static constexpr Milliseconds kDeadTime{3000};

  explicit KeyLead(InstanceId self) : m_self(std::move(self)) {}

  // A new version of the table was read from the log, or appended by this
  // instance.
  void OnTable(MonotonicTime now, KeyTable table);

  // A read of the log that began at `began` showed no version newer than the
  // known one.
  void OnConfirmed(MonotonicTime began);

  void OnTargets(MonotonicTime now, const TargetList& targets);

  // Services whose requests belong to keys.
  void SetKeyedServices(std::set<ServiceName, std::less<>> services);

  // The data path found the process of a target gone.
  void OnTargetDead(MonotonicTime now, std::string_view target);

  // An order has ended.
  void OnOrderDone(MonotonicTime now,
                   const KeyOrder& order,
                   const KeyOrderResult& result);

  // The next version to append, or nothing. Only for the lead, or with
  // `take_over`, for an instance that is to become the lead.
  std::optional<KeyTable> NextTable(MonotonicTime now, bool take_over);

  // Orders that are due; each must be reported by OnOrderDone().
  std::vector<KeyOrder> TakeOrders(MonotonicTime now);

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
    MonotonicTime next_order;
    bool in_flight = false;
    bool granted = false;
    bool released = false;
    // The target has seen a greater token: another lead is at work.
    bool fenced = false;
    std::string handover;
  };

  const ListedTarget* FindAlive(MonotonicTime now,
                                std::string_view target) const;
  bool IsDead(MonotonicTime now, std::string_view target) const;
  // Whether the target may still hold keys that it was granted.
  bool MayHold(MonotonicTime now, const KeyAssignment& range) const;
  std::vector<KeyCandidate> Candidates(MonotonicTime now,
                                       std::string_view service) const;
  bool ReadyToGrant(MonotonicTime now,
                    const KeyAssignment& range,
                    const RangeState& state) const;
  bool IsSilent(std::string_view target) const {
    return m_next_probe.contains(target);
  }
  void AddProbes(MonotonicTime now, std::vector<KeyOrder>& orders);
  void NoteAnswer(MonotonicTime now,
                  std::string_view target,
                  KeyOrderOutcome outcome);
  void NoteGrant(std::string_view target, MonotonicTime until);
  bool PlanService(MonotonicTime now,
                   const ServiceName& service,
                   KeyTable& next) const;

  InstanceId m_self;
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
  // When the last grant that a target may have lapses.
  std::map<TargetId, MonotonicTime, std::less<>> m_held_until;
  // Targets that left an order unanswered, with the time of the next probe.
  // They get no grants until they answer, so that their last one lapses.
  std::map<TargetId, MonotonicTime, std::less<>> m_next_probe;
  // Until when grants of earlier leads may last.
  MonotonicTime m_earlier_until;
  std::map<TargetId, std::pair<std::int64_t, MonotonicTime>, std::less<>>
      m_dead;
};

}  // namespace snipehall
