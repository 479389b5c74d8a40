#pragma once

#include <string_view>

namespace snipehall {

// Whether a request was executed by a target, as far as this instance knows.
// Callers decide by it whether a retry is safe.
enum class Verdict {
  kRan,         // A complete response was received from the target.
  kNotRun,      // It is certain that no target has run or will run it.
  kMayHaveRun,  // All other cases.
};

// Returns the value of the `Snipehall-Verdict` header.
constexpr std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kRan:
      return "ran";
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
  }
  return "may-have-run";
}

}  // namespace snipehall
