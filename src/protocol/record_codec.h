#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "state/record.h"
#include "state/result.h"

namespace snipehall {

// Encodes a record as the canonical JSON text that the log stores; see
// docs/design.md, 3.1.
std::string EncodeRecord(const Record& record);

// Decodes a log record. Fails with kCorrupt if the text is not a record in
// canonical form. A configuration in it is validated as by
// ParseConfiguration().
Result<Record> DecodeRecord(std::string_view text);

// Encodes a configuration as canonical JSON text: object members in the order
// of the schema, and no white space.
std::string EncodeConfiguration(const Configuration& configuration);

// Parses a configuration document. Validates it against the JSON schema, and
// then against the rules that a schema cannot express. Returns all errors
// found. `configuration` is set only if there are none. The command-line tool,
// the administration API, the console and ClusterState all use this function,
// so that they accept the same documents.
std::vector<Error> ParseConfiguration(std::string_view json,
                                      Configuration& configuration);

}  // namespace snipehall
