#pragma once

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

}  // namespace snipehall
