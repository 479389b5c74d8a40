#pragma once

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstddef>
#include <string>
#include <vector>

#include "coordination/messages.h"
#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// Interfaces through which the control thread calls the platform and targets.
// Each concept is modelled by one class per wire protocol, such as
// HttpLogClient. Every call ends by its deadline. Calls fail with
// - kRefused when no connection could be made, so that nothing was sent;
// - kTimeout when the deadline passed;
// - kCorrupt when the response could not be decoded;
// - kInvalidArgument when the other side rejects the request permanently;
// - kUnavailable otherwise.
// Close() cancels the calls in progress, which then fail.

// Result of a read of the log, with the time just before the request was sent.
struct TimestampedLogRead {
  MonotonicTime sent_at;
  LogRead read;
};

// A target's response with the time just before the request was sent.
struct TimestampedLeaseResponse {
  MonotonicTime sent_at;
  LeaseAnswer answer;
};

// Client of the platform's append-only log.
//
// Read() returns up to `max` records from offset `from` on. If there are none,
// it waits up to `wait` for the next record. A read from below the oldest
// retained offset returns no records and a `first` above `from`.
//
// Append() returns the offset of the record. After any failure other than
// kRefused and kInvalidArgument, the record may have been appended or may still
// be appended later.
template <typename T>
concept LogClient = requires(T client,
                             LogOffset from,
                             std::size_t max,
                             Milliseconds wait,
                             MonotonicTime deadline,
                             std::string data) {
  {
    client.Read(from, max, wait, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<TimestampedLogRead>>>;
  {
    client.Append(std::move(data), deadline)
    } -> std::same_as<boost::asio::awaitable<Result<LogOffset>>>;
  client.Close();
};

// Client of the platform's list of instances. Fetch() returns the whole list.
template <typename T>
concept InstanceListClient = requires(T client, MonotonicTime deadline) {
  {
    client.Fetch(deadline)
    } -> std::same_as<
        boost::asio::awaitable<Result<std::vector<PlatformInstance>>>>;
  client.Close();
};

// Client of the control interface of one target, for one call at a time.
// SendOrder() sends a lease order; an order that the target refuses is not an
// error but a response with `accepted` false. QueryStatus() queries the
// target's lease and load.
template <typename T>
concept TargetClient = requires(T client,
                                const LeaseOrder& order,
                                MonotonicTime deadline) {
  {
    client.SendOrder(order, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<TimestampedLeaseResponse>>>;
  {
    client.QueryStatus(deadline)
    } -> std::same_as<boost::asio::awaitable<Result<TimestampedLeaseResponse>>>;
  client.Close();
};

}  // namespace snipehall
