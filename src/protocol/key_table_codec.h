#pragma once

#include <string>
#include <string_view>

#include "state/key_table.h"
#include "state/result.h"

namespace snipehall {

// Encodes a version of the key table as a log record. The JSON text holds the
// leader with its address and term, the greatest fencing token, a list of
// target processes (ID and start time in milliseconds) and, for each service,
// its key ranges in order. A range is an array of its first key, its owner and
// its fencing token, and of its previous owner while it moves. Owners are
// indexes into the list of processes, and a range ends where the next one
// begins.
std::string EncodeKeyTable(const KeyTable& table);

// Decodes what EncodeKeyTable() returns. Fails with kCorrupt if the text is not
// a key table or the ranges of a service overlap or leave a gap.
Result<KeyTable> DecodeKeyTable(std::string_view text);

}  // namespace snipehall
