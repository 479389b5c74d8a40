#include "platform/target_order_client.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "unit/support/fake_target.h"

#include <criterion/criterion.h>

namespace snipehall::platform {
namespace {

using std::chrono::milliseconds;
using test::FakeTarget;
using test::HeaderOf;
using test::RawSocket;

constexpr const char* kOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

void ReadBody(RawSocket& connection, const std::string& head) {
  connection.ReadExactly(static_cast<std::size_t>(
      std::atoi(HeaderOf(head, "Content-Length").c_str())));
}

KeyOrderResult Send(boost::asio::io_context& io,
                    TargetOrderClient& client,
                    KeyOrder::Kind kind) {
  KeyOrder order;
  order.kind = kind;
  order.target = "target";
  order.fencing_token = 1;
  auto result = boost::asio::co_spawn(
      io,
      client.Send(order, std::chrono::steady_clock::now() + milliseconds(500)),
      boost::asio::use_future);
  io.restart();
  io.run();
  return result.get();
}

// Sends two grants over one client and checks that the first one is done and
// the second one has the outcome `expected`.
void RequireOutcomeOfRenewal(const std::string& address,
                             KeyOrderOutcome expected) {
  boost::asio::io_context io;
  TargetOrderClient client(io.get_executor(), address);
  const KeyOrderResult granted = Send(io, client, KeyOrder::Kind::kGrant);
  cr_assert(granted.outcome == KeyOrderOutcome::kDone);
  const KeyOrderResult renewed = Send(io, client, KeyOrder::Kind::kGrant);
  cr_assert(renewed.outcome == expected, "the renewal counts as %s",
            std::string(ToString(renewed.outcome)).c_str());
  client.Close();
}

// The second copy of a grant's response arrives when the connection is in use
// for a release, which the target has not carried out. Taken for its response,
// it would let another target get the keys.
Test(target_order_client, late_copy_of_a_response_does_not_complete_a_release) {
  FakeTarget target([](RawSocket& connection, const std::string& head) {
    ReadBody(connection, head);
    if (head.starts_with("POST /-/grant")) {
      connection.Send(kOk);
      // The copy follows once the client has begun to wait for its next
      // response, if that is on this connection.
      const std::string next = connection.ReadThrough("\r\n\r\n");
      if (!next.empty()) {
        connection.Send(kOk);
        std::this_thread::sleep_for(milliseconds(700));
      }
      return false;
    }
    // The requests in progress at the target do not finish in time.
    std::this_thread::sleep_for(milliseconds(700));
    return false;
  });
  boost::asio::io_context io;
  TargetOrderClient client(io.get_executor(), target.address());
  const KeyOrderResult granted = Send(io, client, KeyOrder::Kind::kGrant);
  cr_assert(granted.outcome == KeyOrderOutcome::kDone);
  const KeyOrderResult released = Send(io, client, KeyOrder::Kind::kRelease);
  cr_assert(released.outcome == KeyOrderOutcome::kUnknown,
            "the release counts as %s",
            std::string(ToString(released.outcome)).c_str());
  client.Close();
}

// The second copy of a grant's response arrives together with the first one.
// Taken for the response to the next grant, it would hide that the target
// rejects that one.
Test(target_order_client, copy_behind_a_response_does_not_complete_a_grant) {
  std::atomic<int> grants = 0;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    ReadBody(connection, head);
    if (++grants == 1) {
      return connection.Send(std::string(kOk) + kOk);
    }
    return connection.Send(
        "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
  });
  RequireOutcomeOfRenewal(target.address(), KeyOrderOutcome::kFenced);
}

// Guards against a truncated response that counts as the execution of an order:
// keys would get another owner while the target still runs requests for them.
Test(target_order_client, truncated_response_leaves_the_outcome_unknown) {
  const std::string response =
      "HTTP/1.1 200 OK\r\nHandover: h\r\nContent-Length: 2\r\n\r\n{}";
  for (std::size_t size = 0; size < response.size(); ++size) {
    FakeTarget target([&](RawSocket& connection, const std::string& head) {
      ReadBody(connection, head);
      connection.Send(response.substr(0, size));
      return false;
    });
    boost::asio::io_context io;
    TargetOrderClient client(io.get_executor(), target.address());
    const KeyOrderResult result = Send(io, client, KeyOrder::Kind::kRelease);
    cr_assert(result.outcome == KeyOrderOutcome::kUnknown,
              "%zu bytes count as %s", size,
              std::string(ToString(result.outcome)).c_str());
    client.Close();
  }
}

// Guards against a renewal that has reached the target and counts as not sent,
// because the connection for its second copy was refused: the leader would give
// the keys to another target while this one holds them.
Test(target_order_client, grant_that_was_sent_does_not_count_as_not_sent) {
  std::atomic<int> grants = 0;
  FakeTarget* listener = nullptr;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    ReadBody(connection, head);
    if (++grants == 1) {
      return connection.Send(kOk);
    }
    listener->StopListening();
    connection.Reset();
    return false;
  });
  listener = &target;
  RequireOutcomeOfRenewal(target.address(), KeyOrderOutcome::kUnknown);
}

}  // namespace
}  // namespace snipehall::platform
