#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "state/record.h"
#include "state/result.h"

namespace snipehall {

// JSON text of a record as it stands in the log; see docs/design.md, 3.1.
std::string EncodeRecord(const Record& record);

// Fails with kCorrupt for text that is no record. A configuration inside is
// checked as by ParseConfiguration().
Result<Record> DecodeRecord(std::string_view text);

// Canonical JSON text of a document: object members in the order of the schema,
// no white space.
std::string EncodeConfiguration(const Configuration& configuration);

// Checks the schema, then the meaning, and returns every error found. On
// success `configuration` holds the document. The tool, the administration
// API, the console and the fold all use it.
std::vector<Error> ParseConfiguration(std::string_view json,
                                      Configuration& configuration);

}  // namespace snipehall
