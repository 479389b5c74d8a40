#include "standins/common/echo.h"

#include <algorithm>
#include <cstdint>
#include <cstring>

#include "state/hash_range.h"

namespace snipehall::standin {

std::string SmallReply(std::string_view target,
                       std::string_view request_id,
                       std::string_view method,
                       std::string_view path,
                       std::string_view body) {
  std::string reply;
  reply.reserve(96 + target.size() + request_id.size() + path.size());
  reply.append("target=").append(target);
  reply.append(" id=").append(request_id);
  reply.append(" method=").append(method);
  reply.append(" path=").append(path);
  reply.append(" bytes=").append(std::to_string(body.size()));
  reply.append(" xxh3=").append(ToHex(HashKey(body)));
  reply.push_back('\n');
  return reply;
}

std::string LargeReply(std::string_view request_id, std::size_t size) {
  // An odd step makes the sequence visit all 2^64 values before it repeats.
  constexpr std::uint64_t kStep = 0x9e3779b97f4a7c15;
  std::uint64_t value = HashKey(request_id);
  std::string reply(size, '\0');
  for (std::size_t position = 0; position < size; position += sizeof(value)) {
    std::memcpy(reply.data() + position, &value,
                std::min(sizeof(value), size - position));
    value += kStep;
  }
  return reply;
}

}  // namespace snipehall::standin
