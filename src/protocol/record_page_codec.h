#pragma once

#include <string>
#include <string_view>

#include "state/record_page.h"
#include "state/result.h"

namespace snipehall {

// A page as the body of an answer between instances, in Cap'n Proto's packed
// form. Its time is carried as an age at `now`.
std::string EncodeRecordPage(const RecordPage& page, MonotonicTime now);

// Fails with kCorrupt when the bytes are no page.
Result<RecordPage> DecodeRecordPage(std::string_view bytes, MonotonicTime now);

}  // namespace snipehall
