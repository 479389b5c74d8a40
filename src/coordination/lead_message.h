#pragma once

#include <string>
#include <variant>
#include <vector>

#include "coordination/key_load.h"
#include "state/key_table.h"
#include "state/types.h"

namespace snipehall {

// Periodic report of an instance to the lead; its answer also shows that the
// lead is alive.
struct LeadReport {
  ZoneName zone;
  // "address:port" where other instances may read the records of the log from
  // this one; empty when it has no new records or is shutting down.
  std::string relay_address;
  // Load of a keyed service; none when its service name is empty.
  KeyLoadReport load;
  // Rate of the instance's network link, Mbit/s; zero when it is not known.
  LinkRate link = 0;
};

// Answer of the lead to a report.
struct LeadServing {
  // "address:port" of the instance that reads the log for the zone.
  std::string reader;
  // Rate of the fastest link of an instance that reports, Mbit/s.
  LinkRate fastest_link = 0;
};

// Announces completed moves of keys to the other instances, so that the lead
// need not append a version of the table for each.
struct LeadSettled {
  // Tokens of the ranges that their new owners were granted.
  std::vector<FenceToken> fences;
};

// Answer of an instance that is not the lead or is about to give up the role.
struct LeadNotServing {};

// Message of a replaced lead to its successor.
struct LeadReplaced {
  // Term of the successor; see KeyTable::term.
  std::uint64_t term = 0;
  // Upper bound of the time until all grants of the replaced lead have expired.
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
