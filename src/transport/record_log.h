#pragma once

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <string>

#include "state/record_page.h"
#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// Maximum time for which the response to a read may be transferred after the
// deadline by which it has to begin.
constexpr Milliseconds kMaxTransferTime{5000};

// A client of the platform's log, which consists of topics of keyed records.
// Every call ends by its deadline and fails with the errors described in
// transport/platform_clients.h.
//
// ReadNewest() returns a snapshot with the newest record of each key. Records
// appended during the read may be missing; a Read() from the page's
// `end_offset` returns them.
//
// The responses to both have to begin by the deadline, and may then take up to
// kMaxTransferTime longer, as long as their bytes keep coming.
//
// Read() returns the records from `offset` on, as many as fit into a page; see
// RecordPage::has_more. If there are none, it waits up
// to `wait` for the first one. It fails with kNotFound if some of the records
// have expired, or if the topic ends before `offset` since the log was restored
// from an older copy. A page of another era than `offset` is not a continuation
// of the pages before.
//
// Append() conditionally adds a record: only if the topic ends at `offset`. It
// returns the new end and fails with kConflict if the topic ends elsewhere. A
// log that was restored meanwhile may end at `offset` again, so the era of the
// result has to be checked. After any other failure except kRefused the record
// may have been added, or may still be added later.
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
    } -> std::same_as<boost::asio::awaitable<Result<TopicPosition>>>;
  log.Close();
};

}  // namespace snipehall
