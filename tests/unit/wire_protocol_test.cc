#include <array>
#include <string>
#include <utility>

#include "protocol/platform_protocol.h"
#include "protocol/target_protocol.h"

#include <criterion/criterion.h>

namespace snipehall {

// Guards against a loss of precision in 64-bit numbers of encoded orders.
Test(wire_protocol, lease_order_round_trip) {
  LeaseOrder order;
  order.incarnation = UINT64_MAX - 1;
  order.assignment_version = UINT64_MAX;
  order.deadline_ms = 1234567890123;
  cr_assert(DecodeLeaseOrder(EncodeLeaseOrder(order)).value() == order);

  order.ranges =
      std::vector<LeasedRange>{{{0, 0x7fffffffffffffff}, 3},
                               {{0x8000000000000000, UINT64_MAX}, UINT64_MAX}};
  cr_assert(DecodeLeaseOrder(EncodeLeaseOrder(order)).value() == order);

  // An empty range set revokes all ranges; without a set the ranges are kept.
  order.ranges = std::vector<LeasedRange>{};
  cr_assert(DecodeLeaseOrder(EncodeLeaseOrder(order)).value() == order);
}

Test(wire_protocol, lease_answer_round_trip) {
  LeaseAnswer answer;
  answer.incarnation = 0xfedcba9876543210;
  answer.clock_ms = 77;
  answer.assignment_version = 12;
  answer.deadline_ms = 677;
  answer.outstanding = 2;
  answer.revoked_ranges_in_progress = 1;
  answer.slots = 3;
  answer.load = 0.5;
  cr_assert(DecodeLeaseAnswer(EncodeLeaseAnswer(answer)).value() == answer);
}

// Guards against accepting a malformed order, which could grant a target ranges
// that it must not own. The error points to the malformed member.
Test(wire_protocol, malformed_orders_are_rejected_with_a_pointer) {
  constexpr std::string_view kCommonMembers =
      R"("incarnation":"0000000000000001","deadline_ms":5,)";
  const std::array<std::pair<std::string, std::string>, 8> documents{{
      {R"("set":-1)", "/set"},
      {R"("set":1.5)", "/set"},
      {R"("set":"1")", "/set"},
      {R"("sets":1)", "/sets"},
      {R"("set":1,"ranges":{})", "/ranges"},
      {R"("set":1,"ranges":[{"start":"00","end":"01","token":"02"}])",
       "/ranges/0/start"},
      {R"("set":1,"ranges":[7])", "/ranges/0"},
      {R"("set":1,"ranges":[{"start":"0000000000000002",)"
       R"("end":"0000000000000001","token":"0000000000000001"}])",
       "/ranges/0/end"},
  }};
  for (const auto& [members, pointer] : documents) {
    const auto decoded =
        DecodeLeaseOrder("{" + std::string(kCommonMembers) + members + "}");
    cr_assert_not(decoded.has_value(), "accepted %s", members.c_str());
    cr_assert_eq(decoded.error().pointer, pointer, "%s: %s", members.c_str(),
                 decoded.error().pointer.c_str());
  }
  cr_assert_not(DecodeLeaseOrder("").has_value());
  cr_assert_not(DecodeLeaseOrder("{}{}").has_value());
}

Test(wire_protocol, log_read_round_trip) {
  RawLogRead read;
  read.first = 4;
  read.end = 7;
  read.records = {{4, "{\"a\":\"\\u00e9\"}"}, {6, "text\n\x01\"\\"}};
  const RawLogRead decoded = DecodeLogRead(EncodeLogRead(read)).value();
  cr_assert_eq(decoded.first, 4U);
  cr_assert_eq(decoded.end, 7U);
  cr_assert_eq(decoded.records.size(), 2U);
  cr_assert_eq(decoded.records[1].offset, 6U);
  cr_assert_eq(decoded.records[1].data, read.records[1].data);
}

// Guards against a reader that applies records twice or out of order.
Test(wire_protocol, unordered_offsets_are_rejected) {
  const auto read = [](std::string_view records) {
    return DecodeLogRead(R"({"first":1,"end":5,"records":[)" +
                         std::string(records) + "]}");
  };
  cr_assert(read(R"({"offset":3,"data":""})").has_value());
  cr_assert_not(read(R"({"offset":5,"data":""})").has_value());
  cr_assert_not(
      read(R"({"offset":3,"data":""},{"offset":3,"data":""})").has_value());
  cr_assert_not(read(R"({"offset":0,"data":""})").has_value());
  cr_assert_not(
      DecodeLogRead(R"({"first":0,"end":5,"records":[]})").has_value());
  cr_assert_not(
      DecodeLogRead(R"({"first":6,"end":5,"records":[]})").has_value());
}

Test(wire_protocol, instance_list_round_trip) {
  const std::vector<PlatformInstance> instances{
      {"e1", PlatformRole::kEntry, "", "ridge-north", "127.0.0.1:4000", false},
      {"t1", PlatformRole::kTarget, "gearshelf", "valley-lodge",
       "127.0.0.1:4001", true}};
  cr_assert(DecodeInstanceList(EncodeInstanceList(instances)).value() ==
            instances);
}

// Guards against decoding an unknown role or state as the default value.
Test(wire_protocol, unknown_role_or_state_is_rejected) {
  const auto decode = [](std::string_view role, std::string_view state) {
    return DecodeInstanceList(
        R"({"instances":[{"id":"a","service":"s","zone":"z","address":"x:1",)"
        R"("role":")" +
        std::string(role) + R"(","state":")" + std::string(state) + "\"}]}");
  };
  cr_assert(decode("target", "live").has_value());
  cr_assert_eq(decode("Target", "live").error().pointer, "/instances/0/role");
  cr_assert_eq(decode("target", "gone").error().pointer, "/instances/0/state");
}

}  // namespace snipehall
