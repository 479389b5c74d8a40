#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace snipehall {

// A target that may serve a request.
struct CompletionCandidate {
  // Index of the target for the caller of ChooseByCompletion().
  std::size_t index = 0;
  // The target is in the instance's own availability zone.
  bool local = false;
  // Number of requests that it can run concurrently.
  double slots = 1;
  // Requests at the target, of all instances, as far as known.
  double outstanding = 0;
  // This instance's own requests at the target, recent failures included.
  double own_load = 0;
  // Service time relative to the mean of the service's targets.
  double relative_time = 1;
  // Part of its share of the requests that it gets; below 1 while it ramps up.
  double ramp = 1;

  // Requests that wait before a new one, in units of all slots.
  double QueueLength() const;
  // Expected time until a new request is served, relative to the mean service
  // time.
  double Completion() const;
};

// Chooses the target that is expected to complete a request early. It answers
// uneven servers, with loads that are known with a delay: the best of two
// candidates drawn by capacity is taken, so that instances with the same
// reports do not all choose the same target, and fast targets get more. Only
// those with the fewest requests of this instance are drawn: a target that has
// stopped responding sends no reports, but keeps its requests.
//
// Targets of other zones are chosen only if they save a noticeable part of the
// service time, because bytes between zones are expensive. Returns the index of
// the candidate, nothing if there is none.
std::optional<std::size_t> ChooseByCompletion(
    std::span<const CompletionCandidate> candidates,
    std::mt19937_64& random);

}  // namespace snipehall
