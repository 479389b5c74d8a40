#pragma once

namespace snipehall {

// Load that a target reported with a response.
struct ReportedLoad {
  // Requests that are running or waiting at the target, of all instances.
  int outstanding = 0;
  // Number of requests that the target runs concurrently.
  int slots = 0;
  // Those of `outstanding` that are waiting for a slot.
  int waiting = 0;
  // Time that work takes at the target at the moment, in percent of the usual
  // time; others on the same machine may slow it down.
  int slowdown_percent = 100;

  bool IsFull() const { return outstanding >= slots; }
};

}  // namespace snipehall
