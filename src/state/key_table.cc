#include "state/key_table.h"

#include <algorithm>

namespace snipehall {

const KeyAssignment* KeyTable::Find(std::string_view service,
                                    KeyNumber key) const {
  const auto found = services.find(service);
  if (found == services.end()) {
    return nullptr;
  }
  const auto after =
      std::upper_bound(found->second.begin(), found->second.end(), key,
                       [](KeyNumber number, const KeyAssignment& item) {
                         return number < item.first;
                       });
  if (after == found->second.begin()) {
    return nullptr;
  }
  const KeyAssignment& item = *(after - 1);
  return key <= item.last ? &item : nullptr;
}

}  // namespace snipehall
