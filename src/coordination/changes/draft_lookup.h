#pragma once

#include <string_view>

#include "state/configuration.h"

namespace snipehall {

// Returns the service with this name for editing, or null.
inline ServiceConfig* FindDraftService(Configuration& draft,
                                       std::string_view name) {
  for (ServiceConfig& service : draft.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

}  // namespace snipehall
