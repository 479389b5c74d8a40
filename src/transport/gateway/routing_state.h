#pragma once

#include <list>
#include <memory>
#include <set>
#include <span>

#include "state/key_table.h"
#include "state/route_policy.h"
#include "state/target_list.h"
#include "transport/async_event.h"

namespace snipehall {

// What an instance knows of configuration, targets and owners. Used by one
// thread; waiters are told of each change.
class RoutingState {
 public:
  // Registers an event that is notified at each change while it lives.
  class Watch {
   public:
    Watch(RoutingState& state, AsyncEvent& event)
        : m_state(state),
          m_position(state.m_watches.insert(state.m_watches.end(), &event)) {}
    ~Watch() { m_state.m_watches.erase(m_position); }
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

   private:
    RoutingState& m_state;
    std::list<AsyncEvent*>::iterator m_position;
  };

  const std::shared_ptr<const RoutePolicy>& policy() const { return m_policy; }
  const TargetList& targets() const { return m_targets; }
  const KeyTable& keys() const { return m_keys; }
  // Counts changes.
  std::uint64_t version() const { return m_version; }

  void SetPolicy(std::shared_ptr<const RoutePolicy> policy) {
    m_policy = std::move(policy);
    NoteChange();
  }
  void SetTargets(TargetList targets) {
    m_targets = std::move(targets);
    NoteChange();
  }
  void SetKeys(KeyTable keys) {
    m_keys = std::move(keys);
    std::set<FenceToken> known;
    for (const auto& [service, ranges] : m_keys.services) {
      for (const KeyAssignment& range : ranges) {
        known.insert(range.fence);
      }
    }
    std::erase_if(m_settled, [&known](FenceToken fence) {
      return !known.contains(fence);
    });
    ApplySettled();
    NoteChange();
  }
  // The moves of the ranges with these tokens have ended, though the table of
  // keys does not show it yet.
  void AddSettled(std::span<const FenceToken> fences) {
    m_settled.insert(fences.begin(), fences.end());
    if (ApplySettled()) {
      NoteChange();
    }
  }

 private:
  bool ApplySettled() {
    bool changed = false;
    for (auto& [service, ranges] : m_keys.services) {
      for (KeyAssignment& range : ranges) {
        if (range.moving() && m_settled.contains(range.fence)) {
          range.previous.clear();
          changed = true;
        }
      }
    }
    return changed;
  }

  void NoteChange() {
    ++m_version;
    for (AsyncEvent* event : m_watches) {
      event->Notify();
    }
  }

  std::shared_ptr<const RoutePolicy> m_policy;
  TargetList m_targets;
  KeyTable m_keys;
  std::set<FenceToken> m_settled;
  std::uint64_t m_version = 0;
  std::list<AsyncEvent*> m_watches;
};

}  // namespace snipehall
