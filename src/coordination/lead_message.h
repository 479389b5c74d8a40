#pragma once

#include <variant>

#include "coordination/key_load.h"
#include "state/types.h"

namespace snipehall {

// The answer of the lead to a report.
struct LeadServing {};

// The answer of an instance that is not the lead, or will soon not be any more.
struct LeadNotServing {};

// What a former lead tells its successor.
struct LeadReplaced {
  // Of the successor; see KeyTable::term.
  std::uint64_t term = 0;
  // How long its grants last at most.
  Milliseconds holds{0};
};

// A datagram between an instance and the lead.
struct LeadMessage {
  InstanceId from;
  std::variant<KeyLoadReport, LeadServing, LeadNotServing, LeadReplaced>
      content;
};

}  // namespace snipehall
