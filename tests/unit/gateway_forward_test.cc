#include <string>
#include <vector>

#include "unit/support/data_fixture.h"
#include "unit/support/gateway_fixture.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

// Answers as another instance that has passed on the response of "target-9".
bool AnswerForTarget(RawSocket& connection, const std::string& head) {
  std::string response = GatewayFixture::OkResponse(
      HeaderOf(head, "Snipehall-Request-Id"), "body");
  response.insert(response.find("Content-Length"),
                  "Snipehall-Target: target-9\r\n");
  return connection.Send(response);
}

// A gateway that reaches no target and forwards requests to `forwarders`.
class CutOffGateway {
 public:
  explicit CutOffGateway(std::vector<std::string> forwarders)
      : m_gateway({"127.0.0.1:1"}) {
    m_gateway.Run([&] {
      const MonotonicTime now = std::chrono::steady_clock::now();
      TargetReachability& reachability =
          m_gateway.context().services.Find(now, "work")->reachability;
      reachability.OnProbesStarted(now, 1, true);
      reachability.OnProbeEnded(now, false);
      m_gateway.context().state.SetForwarders({{"work", forwarders}});
      return reachability.cut_off();
    });
  }

  Response Send(const std::string& method, const std::string& path) {
    RawSocket caller = m_gateway.Connect();
    cr_assert(caller.Send(GatewayFixture::Request(
        method, path, "id-1",
        "Snipehall-Deadline-Ms: 900\r\nSnipehall-Attempts-Left: 90\r\n"
        "Content-Length: 0\r\n")));
    return ReadResponse(caller);
  }

  GatewayFixture& fixture() { return m_gateway; }

 private:
  GatewayFixture m_gateway;
};

// Guards against callers that are refused although another instance can serve
// them. Callers must not set how often a request may be sent, and do not get
// the header that is meant for the instance.
Test(gateway_forward, another_instance_serves_the_request) {
  FakeTarget other(AnswerForTarget);
  CutOffGateway gateway({other.address()});
  const Response response = gateway.Send("POST", "/order/new");
  cr_assert_eq(response.status, 200);
  cr_assert_eq(response.body, "body");
  cr_assert_str_eq(HeaderOf(response.head, "Snipehall-Target").c_str(), "");
  cr_assert_eq(other.heads().size(), 1);
  const std::string head = other.heads().front();
  cr_assert_str_eq(HeaderOf(head, "Snipehall-Attempts-Left").c_str(), "3");
  cr_assert_str_eq(HeaderOf(head, "Snipehall-Target").c_str(), "");
  cr_assert_leq(std::stoi(HeaderOf(head, "Snipehall-Deadline-Ms")), 900);
}

// Guards against a promise that a request was not run which another instance
// may have sent to a target.
Test(gateway_forward, lost_instance_leaves_a_truthful_status) {
  FakeTarget other([](RawSocket&, const std::string&) { return false; });
  CutOffGateway gateway({other.address(), other.address()});
  cr_assert_eq(gateway.Send("POST", "/order/new").status, 502);
  cr_assert_eq(other.heads().size(), 1);
}

// Guards against giving up when the first instance is cut off as well.
Test(gateway_forward, next_instance_is_tried_after_a_refusal) {
  FakeTarget cut_off([](RawSocket& connection, const std::string& head) {
    return connection.Send(
        GatewayFixture::NotRunResponse(HeaderOf(head, "Snipehall-Request-Id")));
  });
  FakeTarget other(AnswerForTarget);
  CutOffGateway gateway({cut_off.address(), other.address()});
  cr_assert_eq(gateway.Send("POST", "/order/new").status, 200);
  cr_assert_eq(cut_off.heads().size(), 1);
  CutOffGateway alone({cut_off.address()});
  const Response refused = alone.Send("POST", "/order/new");
  cr_assert_eq(refused.status, 503);
  cr_assert_neq(HeaderOf(refused.head, "Retry-After"), "");
}

// Guards against waiting for a deadline when it is known that no instance
// reaches a target.
Test(gateway_forward, request_is_rejected_at_once_without_another_instance) {
  CutOffGateway gateway({});
  const MonotonicTime began_at = std::chrono::steady_clock::now();
  cr_assert_eq(gateway.Send("GET", "/read/item").status, 503);
  cr_assert_lt(std::chrono::steady_clock::now() - began_at, Milliseconds(300));
}

// Guards against requests that are passed from one instance to the next.
Test(gateway_forward, forwarded_request_is_not_forwarded_again) {
  FakeTarget other(AnswerForTarget);
  CutOffGateway gateway({other.address()});
  RawSocket instance = gateway.fixture().ConnectAsInstance();
  cr_assert(
      instance.Send(GatewayFixture::Request("POST", "/order/new", "id-1",
                                            "Snipehall-Attempts-Left: 2\r\n"
                                            "Content-Length: 0\r\n")));
  const Response response = ReadResponse(instance);
  cr_assert_eq(response.status, 503);
  cr_assert_neq(HeaderOf(response.head, "Snipehall-Not-Run"), "");
  cr_assert_str_eq(HeaderOf(response.head, "Snipehall-Request-Id").c_str(),
                   "id-1");
  cr_assert_str_eq(HeaderOf(response.head, "Retry-After").c_str(), "");
  cr_assert(other.heads().empty());
}

// Guards against more attempts than the instance that forwards a request
// allows, and against a response that does not name its target.
Test(gateway_forward, forwarded_request_keeps_to_the_attempts_left) {
  FakeTarget target([](RawSocket& connection, const std::string& head) {
    return HeaderOf(head, "Snipehall-Request-Id") == "id-2"
               ? connection.Send(GatewayFixture::OkResponse("id-2", "body"))
               : connection.Send(GatewayFixture::NotRunResponse("id-1"));
  });
  GatewayFixture gateway({target.address(), target.address()});
  RawSocket instance = gateway.ConnectAsInstance();
  cr_assert(instance.Send(GatewayFixture::Request(
      "GET", "/read/item", "id-1", "Snipehall-Attempts-Left: 1\r\n")));
  cr_assert_eq(ReadResponse(instance).status, 503);
  cr_assert_eq(target.heads().size(), 1);
  cr_assert_str_eq(
      HeaderOf(target.heads().front(), "Snipehall-Attempts-Left").c_str(), "");
  cr_assert(instance.Send(GatewayFixture::Request(
      "GET", "/read/item", "id-2", "Snipehall-Attempts-Left: 1\r\n")));
  const Response response = ReadResponse(instance);
  cr_assert_eq(response.status, 200);
  cr_assert_eq(HeaderOf(response.head, "Snipehall-Target").find("target-"), 0);
}

}  // namespace
}  // namespace snipehall::test
