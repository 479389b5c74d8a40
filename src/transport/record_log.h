#pragma once

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <string>

#include "state/record_page.h"
#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// The platform's log with topics of keyed records. Every call ends by its
// deadline, with the errors of transport/platform.h.
//
// ReadNewest() returns the newest record of each key. Records that come while
// it reads may be missing; a read from the page's `end` on returns them.
//
// Read() returns the records from offset `from` on and waits up to `wait` for
// one. It fails with kNotFound when some of them have expired.
//
// Append() adds a record when the topic ends at offset `at`, and returns the
// new end. It fails with kConflict when the topic ends elsewhere. After any
// other failure than kRefused the record may have been added, or may yet be.
template <typename T>
concept RecordLog = requires(T log,
                             const std::string& topic,
                             const KeyedRecord& record,
                             std::uint64_t offset,
                             Milliseconds wait,
                             MonotonicTime deadline) {
  {
    log.ReadNewest(topic, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<RecordPage>>>;
  {
    log.Read(topic, offset, wait, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<RecordPage>>>;
  {
    log.Append(topic, record, offset, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<std::uint64_t>>>;
  log.Close();
};

}  // namespace snipehall
