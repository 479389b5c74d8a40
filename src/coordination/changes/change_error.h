#pragma once

#include <boost/outcome/result.hpp>
#include <string>

#include "state/result.h"

namespace snipehall {

// Returns the error of a change that cannot be applied. `pointer` is the JSON
// pointer of the invalid parameter, for example "/zone"; `allowed` describes
// valid values.
inline auto ChangeError(std::string message,
                        std::string pointer,
                        std::string value,
                        std::string allowed) {
  return boost::outcome_v2::failure(
      Error{ErrorCode::kInvalidArgument, std::move(message), std::move(pointer),
            std::move(value), std::move(allowed)});
}

}  // namespace snipehall
