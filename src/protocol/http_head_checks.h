#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// Checks of HTTP heads beyond those of Boost.Beast's parser. A head is the
// start line and the headers with the empty line after them. Request smuggling
// relies on heads that two HTTP implementations parse differently; these checks
// reject them. The caller limits the size of a head.

// Returns the length in bytes of the head at the start of `data`, including the
// empty line, or 0 while the head is incomplete.
std::size_t FindHeadEnd(std::string_view data);

// Checks the bytes of a request or response head before they are parsed. Every
// line must end in CRLF, no line may be folded (continued on the next line),
// and no byte may be NUL. `head` may be incomplete: the start of a head that is
// still being received. Fails with kInvalidArgument.
Result<void> CheckHeadBytes(std::string_view head);

// Checks the parsed head of a request. The version must be HTTP/1.1, and there
// must be exactly one Host header. There may be one header in total that frames
// the body: a decimal Content-Length or "Transfer-Encoding: chunked". The
// method must be one that Boost.Beast knows, except CONNECT. The request target
// must be in origin form, a path that begins with "/". The only expectation
// allowed is 100-continue. Fails with kInvalidArgument.
Result<void> CheckRequestHead(
    const boost::beast::http::request_header<>& request);

}  // namespace snipehall
