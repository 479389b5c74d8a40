#include "protocol/record_page_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <charconv>
#include <limits>

#include "protocol/record_page.capnp.h"

namespace snipehall {

std::string EncodeRecordPage(const RecordPage& page, MonotonicTime now) {
  const auto age =
      std::chrono::duration_cast<Milliseconds>(now - page.received_at).count();
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::RecordPage>();
  root.setEnd(page.end_offset);
  root.setEra(page.era);
  root.setAgeMs(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      age, 0, std::numeric_limits<std::uint32_t>::max())));
  auto records = root.initRecords(static_cast<unsigned>(page.records.size()));
  for (unsigned i = 0; i < records.size(); ++i) {
    const KeyedRecord& record = page.records[i];
    records[i].setKey({record.key.data(), record.key.size()});
    records[i].setValue(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(record.value.data()),
                     record.value.size()));
  }
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

Result<RecordPage> DecodeRecordPage(std::string_view bytes, MonotonicTime now) {
  try {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(in);
    const auto root = message.getRoot<wire::RecordPage>();
    RecordPage page;
    page.received_at = now - Milliseconds(root.getAgeMs());
    page.sent_at = page.received_at;
    page.end_offset = root.getEnd();
    page.era = root.getEra();
    for (const auto record : root.getRecords()) {
      const auto key = record.getKey();
      const auto value = record.getValue();
      page.records.push_back(
          {std::string(key.begin(), key.size()),
           std::string(reinterpret_cast<const char*>(value.begin()),
                       value.size())});
    }
    return page;
  } catch (const kj::Exception& error) {
    return Fail(ErrorCode::kCorrupt,
                std::string("record page: ") + error.getDescription().cStr());
  }
}

std::optional<Milliseconds> ParseRecordsAge(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 0 ||
      value > kMaxRecordsAge.count()) {
    return std::nullopt;
  }
  return Milliseconds(value);
}

}  // namespace snipehall
