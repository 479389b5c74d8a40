#pragma once

#include <string>
#include <variant>
#include <vector>

#include "coordination/key_load.h"
#include "state/key_table.h"
#include "state/types.h"

namespace snipehall {

// What an instance tells the lead.
struct LeadReport {
  ZoneName zone;
  // "address:port" where other instances may read the log's records; empty
  // when it has no new ones, or will stop.
  std::string relay_address;
  // What it saw of a keyed service; without a service, nothing.
  KeyLoadReport load;
  // Rate of its link, Mbit/s.
  LinkRate link = 0;
};

// The answer of the lead to a report.
struct LeadServing {
  // "address:port" of the instance that reads the log for the zone.
  std::string reader;
  // Rate of the fastest link of an instance that reports, Mbit/s.
  LinkRate fastest_link = 0;
};

// What the lead tells the others of moves of keys that have ended, so that the
// table need not be written for each.
struct LeadSettled {
  // Tokens of the ranges that their new owners were granted.
  std::vector<FenceToken> fences;
};

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
  std::variant<LeadReport,
               LeadServing,
               LeadSettled,
               LeadNotServing,
               LeadReplaced>
      content;
};

}  // namespace snipehall
