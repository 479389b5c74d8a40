#pragma once

#include <boost/outcome/result.hpp>
#include <string>

#include "state/result.h"

namespace snipehall {

// The failure of a change. `pointer` names the change's parameter, for example
// "/zone".
inline auto RefuseChange(std::string message,
                         std::string pointer,
                         std::string value,
                         std::string allowed) {
  return boost::outcome_v2::failure(
      Error{ErrorCode::kInvalidArgument, std::move(message), std::move(pointer),
            std::move(value), std::move(allowed)});
}

}  // namespace snipehall
