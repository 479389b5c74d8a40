#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "state/record_page.h"
#include "state/result.h"

namespace snipehall {

// Encodes a page as the body of an HTTP response between instances, in the
// packed encoding of Cap'n Proto; see record_page.capnp. The time of the page
// is sent as its age at `now`, because the monotonic clocks of two instances
// differ.
std::string EncodeRecordPage(const RecordPage& page, MonotonicTime now);

// Decodes a page that was received at `now`. Fails with kCorrupt if the bytes
// are malformed.
Result<RecordPage> DecodeRecordPage(std::string_view bytes, MonotonicTime now);

// Header of the HTTP response with a page: the age of the page in milliseconds.
// It replaces the age in the body, so that the same body can be sent again
// later. Earlier builds do not send it.
constexpr const char* kRecordsAgeHeader = "Snipehall-Records-Age-Ms";

// Parses the value of kRecordsAgeHeader; nothing if it is not a number of
// milliseconds up to kMaxRecordsAge.
constexpr Milliseconds kMaxRecordsAge{3'600'000};
std::optional<Milliseconds> ParseRecordsAge(std::string_view text);

}  // namespace snipehall
