#pragma once

#include <string>
#include <string_view>

#include "state/key_table.h"
#include "state/result.h"

namespace snipehall {

// A version of the key table as a record of the log: JSON with the lead, the
// greatest fencing token and for each service its ranges, each an array of
// first key, last key, owner, the owner's start, fencing token and previous
// owner.
std::string EncodeKeyTable(const KeyTable& table);

// Fails with kCorrupt when the text is no table, or its ranges overlap or leave
// gaps.
Result<KeyTable> DecodeKeyTable(std::string_view text);

}  // namespace snipehall
