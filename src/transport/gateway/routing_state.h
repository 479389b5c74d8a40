#pragma once

#include <list>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/key_admission_planner.h"
#include "state/key_table.h"
#include "state/route_policy.h"
#include "state/target_list.h"
#include "transport/async_event.h"

namespace snipehall {

// The routing data that an instance currently knows: configuration, targets and
// owners of keys. Not thread-safe. Subscribers are notified of each change.
class RoutingState {
 public:
  // Notifies `event` of each change until the subscription is destroyed.
  class ChangeSubscription {
   public:
    ChangeSubscription(RoutingState& state, AsyncEvent& event)
        : m_state(state),
          m_position(
              state.m_subscribers.insert(state.m_subscribers.end(), &event)) {}
    ~ChangeSubscription() { m_state.m_subscribers.erase(m_position); }
    ChangeSubscription(const ChangeSubscription&) = delete;
    ChangeSubscription& operator=(const ChangeSubscription&) = delete;

   private:
    RoutingState& m_state;
    std::list<AsyncEvent*>::iterator m_position;
  };

  const std::shared_ptr<const RoutePolicy>& policy() const { return m_policy; }
  const TargetList& targets() const { return m_targets; }
  // The newest key table, with the moves of AddCompletedMoves() applied.
  const KeyTable& keys() const { return m_keys; }
  // Fencing tokens of AddCompletedMoves() that the key table has, or that were
  // added since it was set.
  const std::set<FencingToken>& completed_moves() const {
    return m_completed_moves;
  }
  // "address:port" of instances that serve requests for `service` while this
  // one reaches none of its targets; null if they are not known yet.
  const std::vector<std::string>* FindForwarders(
      std::string_view service) const {
    const auto found = m_forwarders.find(service);
    return found == m_forwarders.end() ? nullptr : &found->second;
  }
  // Part of the requests for the key that may be sent to its owner; 1 unless
  // the leader has said otherwise within kAdmissionLifetime.
  double AdmittedFraction(MonotonicTime now,
                          std::string_view service,
                          KeyNumber key) const {
    const auto found = m_key_admissions.find(service);
    if (found == m_key_admissions.end() ||
        now - m_key_admissions_at > kAdmissionLifetime) {
      return 1;
    }
    const auto fraction = found->second.find(key);
    return fraction == found->second.end() ? 1 : fraction->second;
  }
  // Incremented whenever the subscribers are notified.
  std::uint64_t version() const { return m_version; }

  void SetPolicy(std::shared_ptr<const RoutePolicy> policy) {
    m_policy = std::move(policy);
    NotifySubscribers();
  }
  void SetTargets(TargetList targets) {
    m_targets = std::move(targets);
    NotifySubscribers();
  }
  void SetKeys(KeyTable keys) {
    m_keys = std::move(keys);
    std::set<FencingToken> known;
    for (const auto& [service, ranges] : m_keys.services) {
      for (const KeyAssignment& range : ranges) {
        known.insert(range.fencing_token);
      }
    }
    std::erase_if(m_completed_moves, [&known](FencingToken fencing_token) {
      return !known.contains(fencing_token);
    });
    ApplyCompletedMoves();
    NotifySubscribers();
  }
  // Replaces the admitted fractions of all services; subscribers need not know.
  void SetKeyAdmissions(
      MonotonicTime now,
      std::map<ServiceName, KeyFractions, std::less<>> admissions) {
    m_key_admissions = std::move(admissions);
    m_key_admissions_at = now;
  }
  // Replaces the forwarders of all services.
  void SetForwarders(
      std::map<ServiceName, std::vector<std::string>, std::less<>> forwarders) {
    m_forwarders = std::move(forwarders);
    NotifySubscribers();
  }
  // Marks the ranges with these fencing tokens as no longer moving, before a
  // key table shows it. Tokens that the known table does not contain are kept
  // for the next call of SetKeys(), and dropped when that table lacks them as
  // well.
  void AddCompletedMoves(std::span<const FencingToken> fencing_tokens) {
    m_completed_moves.insert(fencing_tokens.begin(), fencing_tokens.end());
    if (ApplyCompletedMoves()) {
      NotifySubscribers();
    }
  }

 private:
  // Three report intervals: without a leader, all requests are sent again.
  static constexpr Milliseconds kAdmissionLifetime{1200};

  bool ApplyCompletedMoves() {
    bool changed = false;
    for (auto& [service, ranges] : m_keys.services) {
      for (KeyAssignment& range : ranges) {
        if (range.moving() && m_completed_moves.contains(range.fencing_token)) {
          range.previous_owner.clear();
          changed = true;
        }
      }
    }
    return changed;
  }

  void NotifySubscribers() {
    ++m_version;
    for (AsyncEvent* event : m_subscribers) {
      event->Notify();
    }
  }

  std::shared_ptr<const RoutePolicy> m_policy;
  TargetList m_targets;
  KeyTable m_keys;
  std::set<FencingToken> m_completed_moves;
  std::map<ServiceName, std::vector<std::string>, std::less<>> m_forwarders;
  std::map<ServiceName, KeyFractions, std::less<>> m_key_admissions;
  MonotonicTime m_key_admissions_at;
  std::uint64_t m_version = 0;
  std::list<AsyncEvent*> m_subscribers;
};

}  // namespace snipehall
