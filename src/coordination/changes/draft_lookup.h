#pragma once

#include <string_view>

#include "state/configuration.h"

namespace snipehall {

// The service of a draft that is to be changed, or null.
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
