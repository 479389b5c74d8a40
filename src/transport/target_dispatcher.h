#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "transport/platform_clients.h"
#include "transport/spawn.h"

namespace snipehall {

// Sends lease orders and status queries to targets, one at a time per target.
// While a call is in progress, only the newest further call is kept for
// sending; older ones are dropped, but a query never replaces an order.
template <TargetClient Client>
class TargetDispatcher {
 public:
  // Creates the client for the target at `address`.
  using Factory = std::function<std::shared_ptr<Client>(const std::string&)>;

  struct Events {
    // `order` is null if the call was a status query.
    std::function<void(const TargetId&,
                       const LeaseOrder* order,
                       const TimestampedLeaseResponse&)>
        on_answer;
    std::function<void(const TargetId&, const Error&)> on_failure;
  };

  struct Timeouts {
    // Timeout of a call.
    Milliseconds call_timeout{300};
    // Idle time after which the connection to a target is closed.
    Milliseconds idle_timeout{30000};
  };

  TargetDispatcher(boost::asio::any_io_executor executor,
                   Factory factory,
                   Timeouts timeouts,
                   Events events)
      : m_executor(std::move(executor)),
        m_factory(std::move(factory)),
        m_timeouts(timeouts),
        m_events(std::move(events)) {}

  // Queue a call; its result is reported through Events.
  void Send(SendLeaseOrder action) {
    TargetId target = action.order.target;
    Enqueue(std::move(target),
            Call{std::move(action.address), std::move(action.order)});
  }

  void Send(SendStatusQuery action) {
    Enqueue(std::move(action.target),
            Call{std::move(action.address), std::nullopt});
  }

  // Closes connections whose idle timeout has expired. Call it periodically.
  void CloseIdle(MonotonicTime now) {
    std::erase_if(m_connections, [now](const auto& entry) {
      const Connection& connection = *entry.second;
      return !connection.busy && connection.idle_deadline <= now;
    });
  }

  // Cancels the calls in progress and ignores further ones.
  void Close() {
    m_closed = true;
    for (const auto& [target, connection] : m_connections) {
      connection->pending.reset();
      if (connection->client) {
        connection->client->Close();
      }
    }
  }

 private:
  struct Call {
    std::string address;
    // Empty for a status query.
    std::optional<LeaseOrder> order;
  };

  struct Connection {
    std::string address;
    std::shared_ptr<Client> client;
    // The call to send after the one in progress.
    std::optional<Call> pending;
    bool busy = false;
    MonotonicTime idle_deadline;
  };

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  void Enqueue(TargetId target, Call call) {
    if (m_closed) {
      return;
    }
    std::shared_ptr<Connection>& connection = m_connections[target];
    if (!connection) {
      connection = std::make_shared<Connection>();
    }
    connection->idle_deadline = Now() + m_timeouts.idle_timeout;
    if (connection->pending && connection->pending->order && !call.order) {
      return;
    }
    connection->pending = std::move(call);
    if (!connection->busy) {
      connection->busy = true;
      Spawn(m_executor, Run(std::move(target), connection));
    }
  }

  boost::asio::awaitable<void> Run(TargetId target,
                                   std::shared_ptr<Connection> connection) {
    while (connection->pending) {
      const Call call = *std::exchange(connection->pending, std::nullopt);
      if (!connection->client || connection->address != call.address) {
        connection->address = call.address;
        connection->client = m_factory(call.address);
      }
      const Result<TimestampedLeaseResponse> response =
          co_await Exchange(*connection, call);
      if (m_closed) {
        break;
      }
      if (response.has_value()) {
        m_events.on_answer(target, call.order ? &*call.order : nullptr,
                           response.value());
      } else {
        m_events.on_failure(target, response.error());
      }
    }
    connection->busy = false;
  }

  boost::asio::awaitable<Result<TimestampedLeaseResponse>> Exchange(
      Connection& connection,
      const Call& call) {
    const MonotonicTime deadline = Now() + m_timeouts.call_timeout;
    if (call.order) {
      return connection.client->SendOrder(*call.order, deadline);
    }
    return connection.client->QueryStatus(deadline);
  }

  boost::asio::any_io_executor m_executor;
  Factory m_factory;
  Timeouts m_timeouts;
  Events m_events;
  std::map<TargetId, std::shared_ptr<Connection>, std::less<>> m_connections;
  bool m_closed = false;
};

}  // namespace snipehall
