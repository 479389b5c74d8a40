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

// What the control thread asks of the platform and of targets. Each concept
// has one binding to a wire protocol, in a file of its own. Every call ends by
// its deadline. It fails with kRefused when no connection could be made, so
// that nothing was sent, with kTimeout when the deadline passed, with kCorrupt
// when the answer could not be decoded, with kInvalidArgument when the other
// side will never take the request, and with kUnavailable otherwise.

// A read of the log with the time just before it was sent.
struct TimedLogRead {
  MonotonicTime began;
  LogRead read;
};

// A target's answer with the time just before the request was sent.
struct TimedLeaseAnswer {
  MonotonicTime sent;
  LeaseAnswer answer;
};

// The platform's append-only log.
//
// Read() returns up to `max` records from offset `from` on. When there is none
// it waits up to `wait` for one. A read below the oldest retained offset
// returns no records and a `first` above `from`.
//
// Append() returns the offset of the record. After any failure other than
// kRefused and kInvalidArgument the record may have been appended, or may yet
// be.
template <typename T>
concept LogClient = requires(T client,
                             LogOffset from,
                             std::size_t max,
                             Milliseconds wait,
                             MonotonicTime deadline,
                             std::string data) {
  {
    client.Read(from, max, wait, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<TimedLogRead>>>;
  {
    client.Append(std::move(data), deadline)
    } -> std::same_as<boost::asio::awaitable<Result<LogOffset>>>;
  client.Close();
};

// The platform's list of instances.
template <typename T>
concept InstanceListClient = requires(T client, MonotonicTime deadline) {
  {
    client.Fetch(deadline)
    } -> std::same_as<
        boost::asio::awaitable<Result<std::vector<PlatformInstance>>>>;
  client.Close();
};

// The control interface of one target. One call at a time.
template <typename T>
concept TargetClient = requires(T client,
                                const LeaseOrder& order,
                                MonotonicTime deadline) {
  {
    client.SendOrder(order, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<TimedLeaseAnswer>>>;
  {
    client.QueryStatus(deadline)
    } -> std::same_as<boost::asio::awaitable<Result<TimedLeaseAnswer>>>;
  client.Close();
};

}  // namespace snipehall
