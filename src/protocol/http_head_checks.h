#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// Checks of request heads beyond those of Boost.Beast's parser. They reject
// every form that two HTTP implementations may parse differently, which request
// smuggling relies on.

// Returns the length of the head at the start of `data` in bytes, including the
// empty line that ends it, or 0 while the head is incomplete.
std::size_t FindHeadEnd(std::string_view data);

// Checks the bytes of a head, or of its first part, before they are parsed:
// lines end in CRLF, no line is folded, and no byte is NUL. Fails with
// kInvalidArgument.
Result<void> CheckHeadBytes(std::string_view head);

// Checks the parsed head of a request: version HTTP/1.1, exactly one Host
// header, at most one header that frames the body, a supported method, a
// request target in origin form, and no expectation but 100-continue. Fails
// with kInvalidArgument.
Result<void> CheckRequestHead(
    const boost::beast::http::request_header<>& request);

}  // namespace snipehall
