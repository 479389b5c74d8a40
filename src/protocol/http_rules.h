#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// Rules for heads of requests that go beyond the parser's own. They refuse
// every form that two implementations of HTTP may read differently.

// Length of the head in `data`, its empty line included, or 0 while it is not
// complete.
std::size_t FindHeadEnd(std::string_view data);

// Checks the bytes of a head, or of its beginning: lines end in CRLF, no line
// is folded, and no byte is NUL. Fails with kInvalidArgument.
Result<void> CheckHeadBytes(std::string_view head);

// Checks the parsed head of a request: version 1.1, exactly one Host, at most
// one framing header, origin-form target. Fails with kInvalidArgument.
Result<void> CheckRequestHead(
    const boost::beast::http::request_header<>& request);

}  // namespace snipehall
