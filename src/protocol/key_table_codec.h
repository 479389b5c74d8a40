#pragma once

#include <string>
#include <string_view>

#include "state/key_table.h"
#include "state/result.h"

namespace snipehall {

// Encodes the whole key table as a log record. The JSON text holds the leader
// with its address, incarnation (the random number of its process) and term
// (the number of changes of the leader), the greatest fencing token issued so
// far, a list of target processes (ID and start time in milliseconds since the
// Unix epoch) and, for each service, its key ranges in ascending order. A range
// is [first key, owner, fencing token], with the previous owner as the fourth
// element while the keys move to a new owner. Owners are zero-based indexes
// into the list of processes. A range ends before the first key of the next
// one.
std::string EncodeKeyTable(const KeyTable& table);

// Decodes what EncodeKeyTable() returns. Fails with kCorrupt if the text is not
// a key table, an index is out of bounds, or the first keys of a service do not
// begin with 0 and strictly ascend.
Result<KeyTable> DecodeKeyTable(std::string_view text);

}  // namespace snipehall
