#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/key_admission_planner.h"
#include "coordination/key_load.h"
#include "coordination/key_planner.h"
#include "coordination/leader_message.h"
#include "state/key_table.h"
#include "state/target_list.h"
#include "state/types.h"

namespace snipehall {

// A command of the leader to a target: to grant it a range of keys for a
// limited time, to make it release the range, or to probe whether it answers.
struct KeyOrder {
  enum class Kind {
    kGrant,
    kRelease,
    // Checks whether an unresponsive target answers again.
    kProbe,
  };

  Kind kind = Kind::kGrant;
  TargetId target;
  // Start time of the target's process that is meant. Another process of the
  // target may be at the address when the order arrives.
  std::int64_t start_time_ms = 0;
  std::string address;
  KeyNumber first = 0;
  KeyNumber last = 0;
  FencingToken fencing_token = 0;
  // How long a grant lasts, counted by the target from its arrival.
  Milliseconds grant_duration{0};
  // Opaque application state that the previous owner returned when it released
  // the range. The first grant passes it to the new owner; empty when there is
  // none.
  std::string handover_state;
};

// Result of an order.
enum class KeyOrderOutcome {
  kDone,
  kFenced,    // The target has already seen a greater fencing token.
  kRejected,  // The target answered with another error. It may have received an
              // earlier copy of the order, and may execute that.
  kGone,      // Another target answers at the address, so the process that was
              // meant has terminated.
  kNotSent,   // No connection could be made. A network partition looks like a
              // terminated process, so this proves nothing about the target.
  kUnknown,   // The target may have executed it, or may still do so.
};

std::string_view ToString(KeyOrderOutcome outcome);

struct KeyOrderResult {
  KeyOrderOutcome outcome = KeyOrderOutcome::kUnknown;
  // HTTP status of the target's response, for event logs; zero without one.
  unsigned status = 0;
  // State returned by a release; see KeyOrder::handover_state.
  std::string handover;
  // The target has stated in its response that it is leaving.
  bool leaving = false;
};

// Coordinates the owners of keys: decides which orders the leader sends to the
// targets and which versions of the key table it appends to the log. The owner
// of a range is the target that the table assigns it to; a target holds the
// range while it has a valid grant for it. The leader is the instance that the
// newest table names. Every instance has a KeyLeader and passes it the events
// of the log, of the target list and of its orders, but only the leader's
// returns orders. It does no I/O and takes the time from its caller.
//
// A term belongs to the process that began it. Another process of the same
// instance knows nothing of the grants that it sent, so it begins a new term
// before it acts as the leader.
//
// A key has at most one owner at any moment, because:
// - Each version of the table is appended on condition that the topic still
//   ends at the version that it was made from, and tokens only grow from
//   version to version.
// - The leader grants keys to a new owner only when the previous one has
//   answered a release that carries the new token, when its process has
//   restarted or terminated, or when every grant that any leader can have sent
//   it has expired. A former leader's report of its grants shortens that wait
//   only if this leader took over from that very process.
// - A leader sends orders only for kLeaderLeaseDuration after it sent the last
//   read or append by which the log confirmed it; see OnConfirmed(). A new
//   leader assumes that its predecessor sends grants until kLeaderLeaseDuration
//   after the new leader's append.
//
// When the log is restored from an older copy, its newest versions are lost,
// although targets hold keys by them. So a new era of the log begins:
//
// - Nobody is the leader until a version of the new era is appended, by the
//   former leader or, without it, by another instance. It is made from the
//   assignments with the greatest tokens among those that the instance knows
//   and those in the log. An instance that knows a greater token tells the
//   leader, which stops, and appends a corrected version. Tokens and terms of
//   the new era are greater than all earlier ones; see EraBase().
// - Until all grants of earlier eras must have expired, a range from an earlier
//   era is only renewed, with its token, which its owner rejects if it has seen
//   a greater one. Once the owner has accepted, the range is like any other. A
//   range whose owner has not accepted by then gets a new token.
// - If the version was made by an instance that did not follow the log until
//   the restore, the leader sends no orders until then; see
//   KeyTable::owners_unknown.
class KeyLeader {
 public:
  // How long a confirmation of the leader by the log is valid. Longer than two
  // long polls of the key table, so that the leader does not lose its role when
  // one is slow.
  static constexpr Milliseconds kLeaderLeaseDuration{2500};
  // Duration of a grant. Longer than it takes to detect a failed leader and
  // append the table of a new one, so that grants do not expire meanwhile. The
  // keys of a lost target are unavailable until its grant expires.
  static constexpr Milliseconds kGrantDuration{4000};
  // Duration of a grant while the log does not answer, since no other leader
  // can take over until it does. The leader sends grants for
  // kLeaderLeaseDuration after its last confirmation, so together (2.5 s + 7 s)
  // they cover an outage of nine seconds. Longer grants would delay the
  // reassignment of keys whose target is lost during the outage.
  static constexpr Milliseconds kLongGrantDuration{7000};
  // Age of the leader's confirmation from which on new grants and renewals get
  // kLongGrantDuration. Longer than the timeout of a read of the log.
  static constexpr Milliseconds kLogUnresponsiveAge{1300};
  // Age of the leader's confirmation from which on all grants of kGrantDuration
  // are extended to kLongGrantDuration without waiting for their renewal, which
  // may be due only after the leader's lease has expired.
  static constexpr Milliseconds kGrantExtensionAge{1900};
  // Interval at which the leader renews the grant of a range.
  static constexpr Milliseconds kRenewalInterval{1200};
  // Delay before an order that failed is sent again.
  static constexpr Milliseconds kRetryDelay{300};
  // How long a rate limit is known after the last request for a permit. Longer
  // than the pauses between requests to a target with few keys.
  static constexpr Milliseconds kRateLimitLifetime{5000};
  // Interval between probes of an unresponsive target.
  static constexpr Milliseconds kProbeInterval{500};
  // Minimum interval between two attempts to move keys from busy targets to
  // idle ones; see BalanceService().
  static constexpr Milliseconds kBalanceInterval{500};
  // Minimum interval between versions of the table that only record completed
  // moves. Instances learn of these earlier by datagram. Every version costs a
  // read by every instance, and the platform charges for reads.
  static constexpr Milliseconds kMoveCompletionInterval{2000};
  // Factor for clock drift. The leader multiplies the duration of a grant by it
  // to get the latest expiry: the platform states that a target's clock may run
  // 2% slow.
  static constexpr double kClockDriftFactor = 1.02;
  // Timeout of a grant or probe, from sending it to its response. The caller
  // sets its own timeout for releases, which wait for requests in progress.
  static constexpr Milliseconds kOrderTimeout{1000};
  // How long the set of listed targets must be unchanged before the keys of a
  // service are assigned for the first time, so that no target is left out.
  static constexpr Milliseconds kTargetListSettleTime{1200};

  // `incarnation`, not zero, distinguishes this process from others of the
  // instance `self`. `address` ("address:port") is where it receives load
  // reports while it is the leader.
  KeyLeader(InstanceId self, Incarnation incarnation, std::string address)
      : m_self(std::move(self)),
        m_incarnation(incarnation),
        m_address(std::move(address)) {}

  // How long the former leader has, after the log was restored, to append the
  // first version of the new era before an instance that knows less does.
  static constexpr Milliseconds kRestoreTime{1500};
  // Delay of the first orders in a new era, in which an instance that knows
  // newer assignments can append them.
  static constexpr Milliseconds kCorrectionTime{500};

  // Upper bound of the time from `now` until all grants of this instance, and
  // of the leaders before it, have expired. A replaced leader sends it to its
  // successor.
  Milliseconds RemainingGrantTime(MonotonicTime now) const;

  // Upper bound of the time from `now` until all grants of the leaders before
  // this one have expired; zero if they have, or on other instances.
  Milliseconds FormerGrantTime(MonotonicTime now) const;

  // Call when a former leader reports the time until its last grant expires. If
  // it is the predecessor of this leader, that shortens the wait before keys
  // change owners.
  void OnLeaderReplaced(MonotonicTime now, const LeaderReplaced& replaced);

  // Call before the first OnTable(), and again when the log was restored.
  // `followed_previous_era` tells whether all versions of the previous era, but
  // for those of its last moments, were passed to OnTable().
  void OnLogEra(MonotonicTime now, LogEra era, bool followed_previous_era);

  // Call for each version of the table, that is each table that was read from
  // the log or appended by this instance.
  void OnTable(MonotonicTime now, KeyTable table);

  // Call when the log showed that the known version is the newest: by a read
  // without newer versions, or by an append of this instance. `began` is when
  // that read or append was sent; the leader's lease starts there.
  void OnConfirmed(MonotonicTime began);

  // Call on an instance that is not the leader, with the tokens of ranges that
  // the leader has granted to their new owners. If this instance becomes the
  // leader, it does not wait for their former owners again.
  void OnMovesCompleted(const std::set<FencingToken>& fencing_tokens);

  // Call when an instance knows newer assignments than the table of `term`. A
  // leader then sends no orders until the table is corrected or all grants of
  // earlier leaders have expired.
  void OnTableOutdated(std::uint64_t term);

  // Call with the whole list of targets when an entry has changed.
  void OnTargets(MonotonicTime now, const TargetList& targets);

  // Sets the services whose requests carry keys; keys are assigned for these
  // only. The value is the rate, requests per second, that a cold target bears,
  // or zero if it bears any.
  void SetKeyedServices(std::map<ServiceName, double, std::less<>> cold_rates);

  // Call for each load report of any instance, this one included.
  void OnLoad(MonotonicTime now, const KeyLoadReport& report) {
    m_loads[report.service].OnReport(now, report);
  }

  // Call when a connection for a request with a key could not be made. The
  // leader then probes the target.
  void OnTargetUnreachable(MonotonicTime now, std::string_view target);

  // Returns the busy keys of each keyed service, of whose requests only a part
  // may be sent; see KeyAdmissionPlanner.
  std::map<ServiceName, KeyFractions, std::less<>> PlanKeyAdmissions(
      MonotonicTime now) const;

  // Call when an instance asks for a permit for a request to the target, which
  // has named the limit `limit`, requests per second above zero. Its keys are
  // then balanced by that.
  void OnRateLimit(MonotonicTime now, std::string_view target, double limit);

  // Call once for each order that TakeDueOrders() returned.
  void OnOrderResult(MonotonicTime now,
                     const KeyOrder& order,
                     const KeyOrderResult& result);

  // Returns the next version of the table to append, or nothing when there is
  // no change. Call it regularly on every instance. An instance that is not the
  // leader gets nothing or, with `take_over`, a version that makes it the
  // leader. A leader whose lease has expired gets nothing.
  std::optional<KeyTable> NextTable(MonotonicTime now, bool take_over);

  // Whether this instance should become the leader although the leader has not
  // failed: the table names a former process of this instance, or the log was
  // restored and this instance was the leader before or knows more assignments
  // than the leader.
  bool ShouldTakeOver(MonotonicTime now) const;
  // Whether this instance knows newer assignments than the newest table.
  bool KnowsNewerAssignments() const { return m_lost_table.has_value(); }

  // Returns the orders to send now, none unless this instance is the leader.
  // Report the result of each by OnOrderResult(): until then its range gets no
  // other order.
  std::vector<KeyOrder> TakeDueOrders(MonotonicTime now);

  // Returns the fencing tokens, in ascending order, of the ranges that the
  // table still shows as moving although their new owners were granted them.
  std::vector<FencingToken> CompletedMoves() const;

  // The newest version of the table that is known.
  const KeyTable& table() const { return m_table; }
  // Whether the newest table names this process as the leader.
  bool IsNamedLeader() const {
    return IsInstanceNamed() && m_table.leader_incarnation == m_incarnation;
  }
  // Whether the newest table names this process, is of the present era of the
  // log, and the leader's lease has not expired.
  bool IsLeader(MonotonicTime now) const {
    return IsNamedLeader() && m_table.era == m_log_era &&
           now < m_confirmed_at + kLeaderLeaseDuration;
  }

 private:
  // A report of a former leader; see LeaderReplaced.
  struct PredecessorReport {
    std::uint64_t term = 0;
    Incarnation incarnation = 0;
    // When the last grant of the sender expires.
    MonotonicTime grants_until;
  };

  // A rate limit that a target has named.
  struct RateLimit {
    // Requests per second.
    double limit = 0;
    MonotonicTime expires_at;
  };

  using RangeId = std::pair<ServiceName, KeyNumber>;

  // What the leader knows about a range of the table.
  struct RangeState {
    FencingToken fencing_token = 0;
    KeyNumber last = 0;
    MonotonicTime next_order_at;
    bool in_flight = false;
    bool granted = false;
    // The last grant had kLongGrantDuration.
    bool has_long_grant = false;
    // Former owners that may still hold keys of the range: the one that the
    // table names, and those of an older table that received a grant while the
    // newer one was being appended.
    std::vector<TargetId> former_owners;
    // The target has refused the token because it has seen a greater one, sent
    // by another leader. No orders are sent until the next version of the table
    // has a greater token; see RaiseTokens().
    bool fenced = false;
    // A grant with the token may have reached a process of the owner.
    bool sent = false;
    // An order to the owner got no answer since then. The owner may have
    // started again meanwhile, and a process must not get a token of a former
    // one, so the range needs a greater one before its next grant.
    bool contact_lost = false;
    // A version that NextTable() returned gives keys of the range to another
    // target, on the assumption that the owner no longer holds them. It may
    // still be appended, also after its append has failed, so the owner gets no
    // grants until another version is known.
    bool reassigned = false;
    // Opaque state from the release, for the first grant to the new owner.
    std::string handover;
  };

  // The grants that this leader sent to a process of a target.
  struct Grants {
    int in_flight = 0;
    // When the last one that may have arrived expires.
    MonotonicTime until;
  };

  // Whether the newest table names this instance, be it this process or another
  // one.
  bool IsInstanceNamed() const { return m_table.leader == m_self; }
  // Takes over the wait from a report of the predecessor for this term.
  void ApplyPredecessorReport();
  const ListedTarget* FindKnownTarget(std::string_view target) const;
  // Whether the known process of the target has terminated.
  bool HasTerminated(std::string_view target) const;
  // Returns the targets of the service that may own keys.
  std::vector<KeyCandidate> Candidates(std::string_view service) const;
  // The same without cold targets that own none of `ranges`, unless all are
  // cold: such a target could not serve the requests for what it gets.
  std::vector<KeyCandidate> WarmCandidates(
      MonotonicTime now,
      std::string_view service,
      std::span<const KeyAssignment> ranges) const;
  // Rate that a cold target of the service bears, requests per second.
  double ColdRate(std::string_view service) const;
  // Returns the first former owner that may still hold keys of the range, or
  // null.
  const TargetId* FindHolder(MonotonicTime now, const RangeState& state) const;
  // Returns the former owners of a range of a new table that may still hold
  // keys of it.
  std::vector<TargetId> FindFormerOwners(
      MonotonicTime now,
      const KeyAssignment& range,
      std::span<const KeyAssignment> old_ranges) const;
  // Marks the ranges that `next`, which may be appended from now on, reassigns.
  void MarkReassigned(const KeyTable& next);
  // Whether an order about the range is due.
  bool IsDue(MonotonicTime now, const RangeState& state) const;
  bool IsUnresponsive(std::string_view target) const {
    return m_next_probe.contains(target);
  }
  // Adds the probes of unresponsive targets that are due.
  void AddProbes(MonotonicTime now, std::vector<KeyOrder>& orders);
  // Starts, continues or ends the probing of the target after an order.
  void UpdateProbes(MonotonicTime now,
                    const KeyOrder& order,
                    KeyOrderOutcome outcome);
  // Call when an order to the target got no answer; see
  // RangeState::contact_lost.
  void OnContactLost(std::string_view target);
  // Updates the expiry of the target's grants after the result of a grant.
  void RecordGrantResult(MonotonicTime now,
                         const KeyOrder& order,
                         KeyOrderOutcome outcome);
  // Whether a grant to a process of the target that has not terminated, by this
  // leader or an earlier one, may be valid or in flight.
  bool MayHaveGrant(MonotonicTime now, std::string_view target) const;
  // Returns the state of the range with the same first key, or null.
  const RangeState* FindState(const ServiceName& service,
                              const KeyAssignment& range) const;
  // Whether the range is marked as moving but its new owner was granted it.
  bool IsMoveComplete(const ServiceName& service,
                      const KeyAssignment& range) const;
  // Clears the move mark of ranges whose new owner was granted them. Returns
  // whether the table changed.
  bool CompleteMoves(KeyTable& next) const;
  // Merges adjacent ranges of the same owner, so that the table stays short
  // while ranges are split.
  void MergeRanges(KeyTable& next) const;
  // Whether this leader has granted the range to its owner, so that no other
  // target can hold a key of it.
  bool IsExclusivelyGranted(const ServiceName& service,
                            const KeyAssignment& range) const;
  // Gives new tokens to ranges whose target has seen a greater one, to those
  // that were not renewed since the log was restored, and to those whose owner
  // answers again and may have started again. Returns whether the table
  // changed.
  bool RaiseTokens(MonotonicTime now, KeyTable& next) const;
  // Whether the range was assigned in an earlier era of the log and its owner
  // has not accepted a renewal from this leader.
  bool IsUnverified(const KeyAssignment& range, const RangeState* state) const;
  // Whether another target may be granted keys of the range, or the same one
  // with another token: not while a target that only a lost version names may
  // hold them.
  bool MayChange(MonotonicTime now,
                 const KeyAssignment& range,
                 const RangeState* state) const;
  // Adopts what a table of an earlier era adds to the known one.
  KeyTable MergeRestored(KeyTable table) const;
  // Makes the ranges that this instance granted as the leader of the previous
  // era unverified. Forgets their former owners, which it had waited for.
  void BeginEraAsFormerLeader();
  // Returns the version that makes this instance the leader.
  KeyTable TakeOverTable() const;
  // Assigns the keys of the service to the targets that can own them. Returns
  // whether the table changed.
  bool PlanService(MonotonicTime now,
                   const ServiceName& service,
                   KeyTable& next) const;
  // Moves keys of the service from busy targets to idle ones. Returns whether
  // the table changed.
  bool BalanceService(MonotonicTime now,
                      const ServiceName& service,
                      KeyTable& next) const;
  // Returns the candidates that answer orders or may still hold one of
  // `ranges`.
  std::vector<KeyCandidate> AnsweringCandidates(
      MonotonicTime now,
      std::string_view service,
      std::span<const KeyAssignment> ranges) const;

  InstanceId m_self;
  Incarnation m_incarnation;
  std::string m_address;
  KeyTable m_table;
  bool m_has_table = false;
  MonotonicTime m_confirmed_at;
  TargetList m_targets;
  // Every target that was listed since the start; a target that is no longer
  // listed may still hold keys.
  TargetList m_known_targets;
  MonotonicTime m_targets_changed_at;
  // The keyed services, with the rate that their cold targets bear.
  std::map<ServiceName, double, std::less<>> m_services;
  std::map<RangeId, RangeState> m_ranges;
  std::map<ServiceName, KeyLoad, std::less<>> m_loads;
  MonotonicTime m_next_balance_at;
  std::map<TargetId, RateLimit, std::less<>> m_rate_limits;
  // When completed moves may be recorded again; see kMoveCompletionInterval.
  MonotonicTime m_next_completion_at;
  // The grants to each process of a target, by its start time.
  std::map<TargetId, std::map<std::int64_t, Grants>, std::less<>> m_grants;
  // Targets that did not answer an order, with the time of the next probe. They
  // get no grants until they answer, so that their last grant expires.
  std::map<TargetId, MonotonicTime, std::less<>> m_next_probe;
  // Upper bound of the expiry of all grants of earlier leaders.
  MonotonicTime m_former_grants_until;
  LogEra m_log_era = 0;
  MonotonicTime m_log_era_began_at;
  // All versions of earlier eras are known, also those that were lost when the
  // log was restored.
  bool m_knows_lost_tables = false;
  // The assignments that were known when the log was restored, while the log
  // has older ones.
  std::optional<KeyTable> m_lost_table;
  // Another instance knows newer assignments than the table.
  bool m_outdated = false;
  // The log ends with a version of an earlier era, appended after the newest
  // one by an instance that did not know yet that the log was restored.
  bool m_superseded = false;
  // This process has been the leader, so other processes of the instance that
  // lead later are not its former ones.
  bool m_has_led = false;
  // The leader of the version that this leader's term was made from; zero if it
  // is not known.
  Incarnation m_predecessor = 0;
  // The last report of the leader of the newest table, which may arrive before
  // the response to the append that replaces it, or of the predecessor.
  PredecessorReport m_predecessor_report;
  // Targets whose process has terminated, with the start time of that process.
  std::map<TargetId, std::int64_t, std::less<>> m_terminated;
};

}  // namespace snipehall
