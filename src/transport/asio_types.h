#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>

namespace snipehall {

// Asio types bound to io_context's executor. The type-erased default,
// any_io_executor, costs an allocation or an indirect call per operation.
using Executor = boost::asio::io_context::executor_type;
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;
using Timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>,
    Executor>;
template <typename T>
using Task = boost::asio::awaitable<T, Executor>;

// Completion token for co_await that returns errors as values instead of
// throwing: `auto [error, ...] = co_await operation(kAsTuple);`
inline constexpr auto kAsTuple =
    boost::asio::as_tuple(boost::asio::use_awaitable_t<Executor>{});

}  // namespace snipehall
