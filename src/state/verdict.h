#pragma once

#include <string_view>

namespace snipehall {

// Says whether a request may have run at a target.
enum class Verdict {
  kRan,         // A whole answer was received from the target.
  kNotRun,      // It is proved that no target has run or will run the request.
  kMayHaveRun,  // Anything else.
};

// The value of the `Snipehall-Verdict` header.
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
