#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "transport/platform.h"
#include "transport/spawn.h"

namespace snipehall {

// Carries lease orders and status queries to targets, one at a time to each.
// While one is in progress the newest other is kept and older ones are
// dropped, except that a query never displaces an order.
template <TargetClient Client>
class TargetDispatcher {
 public:
  // Makes the client of the target at `address`.
  using Factory = std::function<std::shared_ptr<Client>(const std::string&)>;

  struct Events {
    // `order` is null when a status query was answered.
    std::function<
        void(const TargetId&, const LeaseOrder* order, const TimedLeaseAnswer&)>
        on_answer;
    std::function<void(const TargetId&, const Error&)> on_failure;
  };

  struct Limits {
    // Time after which a call is given up.
    Milliseconds call{300};
    // Time without a call after which the connection to a target is closed.
    Milliseconds idle{30000};
  };

  TargetDispatcher(boost::asio::any_io_executor executor,
                   Factory factory,
                   Limits limits,
                   Events events)
      : m_executor(std::move(executor)),
        m_factory(std::move(factory)),
        m_limits(limits),
        m_events(std::move(events)) {}

  void Send(SendLeaseOrder action) {
    TargetId target = action.order.target;
    Dispatch(std::move(target),
             Call{std::move(action.address), std::move(action.order)});
  }

  void Send(SendStatusQuery action) {
    Dispatch(std::move(action.target),
             Call{std::move(action.address), std::nullopt});
  }

  // Closes connections that were not used for a while.
  void CloseIdle(MonotonicTime now) {
    std::erase_if(m_links, [now](const auto& entry) {
      const Link& link = *entry.second;
      return !link.busy && link.idle_deadline <= now;
    });
  }

  // Ends the calls in progress and accepts no more.
  void Close() {
    m_closed = true;
    for (const auto& [target, link] : m_links) {
      link->next.reset();
      if (link->client) {
        link->client->Close();
      }
    }
  }

 private:
  struct Call {
    std::string address;
    // Empty for a status query.
    std::optional<LeaseOrder> order;
  };

  struct Link {
    std::string address;
    std::shared_ptr<Client> client;
    std::optional<Call> next;
    bool busy = false;
    MonotonicTime idle_deadline;
  };

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  void Dispatch(TargetId target, Call call) {
    if (m_closed) {
      return;
    }
    std::shared_ptr<Link>& link = m_links[target];
    if (!link) {
      link = std::make_shared<Link>();
    }
    link->idle_deadline = Now() + m_limits.idle;
    if (link->next && link->next->order && !call.order) {
      return;
    }
    link->next = std::move(call);
    if (!link->busy) {
      link->busy = true;
      Spawn(m_executor, Run(std::move(target), link));
    }
  }

  boost::asio::awaitable<void> Run(TargetId target,
                                   std::shared_ptr<Link> link) {
    while (link->next) {
      const Call call = *std::exchange(link->next, std::nullopt);
      if (!link->client || link->address != call.address) {
        link->address = call.address;
        link->client = m_factory(call.address);
      }
      const Result<TimedLeaseAnswer> answer = co_await Exchange(*link, call);
      if (m_closed) {
        break;
      }
      if (answer.has_value()) {
        m_events.on_answer(target, call.order ? &*call.order : nullptr,
                           answer.value());
      } else {
        m_events.on_failure(target, answer.error());
      }
    }
    link->busy = false;
  }

  boost::asio::awaitable<Result<TimedLeaseAnswer>> Exchange(Link& link,
                                                            const Call& call) {
    const MonotonicTime deadline = Now() + m_limits.call;
    if (call.order) {
      return link.client->SendOrder(*call.order, deadline);
    }
    return link.client->QueryStatus(deadline);
  }

  boost::asio::any_io_executor m_executor;
  Factory m_factory;
  Limits m_limits;
  Events m_events;
  std::map<TargetId, std::shared_ptr<Link>, std::less<>> m_links;
  bool m_closed = false;
};

}  // namespace snipehall
