#include <string>

#include "protocol/key_table_codec.h"
#include "protocol/leader_message_codec.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

KeyTable MakeTable() {
  KeyTable table;
  table.leader = "entry-1";
  table.leader_incarnation = ~Incarnation{0};
  table.leader_address = "127.0.0.1:7000";
  table.term = 3;
  table.fencing_token = 9;
  table.era = 2;
  table.owners_unknown = true;
  table.services["catalog"] = {{0, 99, "a", 1754000000123, 8, ""},
                               {100, kLastKey, "b", 0, 9, "a"}};
  return table;
}

Test(key_table_codec, table_round_trip) {
  const auto decoded = DecodeKeyTable(EncodeKeyTable(MakeTable()));
  cr_assert(decoded.has_value());
  cr_assert(decoded.value() == MakeTable());
}

// Guards against a wrong or no incarnation in the tables of earlier builds.
Test(key_table_codec, incarnation_of_the_leader_is_optional) {
  KeyTable table = MakeTable();
  table.leader_incarnation = 0;
  const std::string text = EncodeKeyTable(table);
  cr_assert(text.find("lead_incarnation") == std::string::npos);
  cr_assert(DecodeKeyTable(text).value() == table);
  for (const std::string value : {"-1", "1.5", "\"7\"", "null"}) {
    const std::string invalid =
        "{\"lead_incarnation\":" + value + "," + text.substr(1);
    cr_assert_not(DecodeKeyTable(invalid).has_value(), "%s", value.c_str());
  }
}

// Whether a table with these ranges, in JSON, is decoded.
bool IsValidTable(const std::string& ranges) {
  return DecodeKeyTable(
             R"({"lead":"e","lead_address":"x","term":1,"fence":9,)"
             R"("targets":[["a",1],["b",0]],"services":{"catalog":)" +
             ranges + "}}")
      .has_value();
}

// Guards against a malformed record that gives keys two owners or none: a range
// ends where the next one begins, so no two ranges may begin at the same key,
// be out of order or begin after the last key, and the first one begins at 0.
Test(key_table_codec, invalid_ranges_are_rejected) {
  cr_assert(IsValidTable("[[0,0,8],[100,1,9,0]]"));
  cr_assert_not(IsValidTable("[[1,0,8]]"));
  cr_assert_not(IsValidTable("[[0,0,8],[0,1,9]]"));
  cr_assert_not(IsValidTable("[[0,0,8],[200,1,9],[100,0,7]]"));
  cr_assert_not(IsValidTable("[[0,0,8],[65536,1,9]]"));
  cr_assert_not(IsValidTable("[[0,2,8]]"));
  cr_assert_not(IsValidTable("[[0,0,8,2]]"));
  cr_assert_not(IsValidTable("[[0,0]]"));
  cr_assert_not(IsValidTable("[[0,0,8,1,1]]"));
  cr_assert_not(IsValidTable("[[-1,0,8]]"));
  cr_assert_not(IsValidTable("[]"));
  cr_assert_not(DecodeKeyTable("{}").has_value());
  cr_assert_not(DecodeKeyTable("").has_value());
}

Test(leader_message_codec, report_round_trip) {
  KeyLoadReport report;
  report.service = "catalog";
  report.keys = {1, 65535, 1};
  report.requests_per_key = 2;
  report.targets = {{"a", 3, Milliseconds(450)}};
  const std::string bytes = EncodeLeaderMessage(
      {"entry-2", LeaderReport{"zone-1", "127.0.0.1:7001", report, 200}});
  const auto decoded = DecodeLeaderMessage({bytes.data(), bytes.size()});
  cr_assert(decoded.has_value());
  cr_assert(decoded.value().from == "entry-2");
  const auto& content = std::get<LeaderReport>(decoded.value().content);
  cr_assert(content.load == report);
  cr_assert(content.zone == "zone-1");
  cr_assert(content.relay_address == "127.0.0.1:7001");
  cr_assert_eq(content.link_mbps, 200);
}

Test(leader_message_codec, replaced_round_trip) {
  const std::string bytes = EncodeLeaderMessage(
      {"entry-1", LeaderReplaced{4, Milliseconds(4080), 7}});
  const auto decoded = DecodeLeaderMessage({bytes.data(), bytes.size()});
  cr_assert(decoded.has_value());
  const auto& replaced = std::get<LeaderReplaced>(decoded.value().content);
  cr_assert_eq(replaced.term, 4);
  cr_assert(replaced.remaining_grant_time == Milliseconds(4080));
  cr_assert_eq(replaced.incarnation, 7);
}

Test(leader_message_codec, moves_completed_round_trip) {
  const std::string bytes =
      EncodeLeaderMessage({"entry-1", LeaderMovesCompleted{{3, 1ULL << 40}}});
  const auto decoded = DecodeLeaderMessage({bytes.data(), bytes.size()});
  cr_assert(decoded.has_value());
  const auto& completed =
      std::get<LeaderMovesCompleted>(decoded.value().content);
  cr_assert(completed.fencing_tokens ==
            std::vector<FencingToken>({3, 1ULL << 40}));
}

Test(leader_message_codec, table_outdated_round_trip) {
  const std::string bytes =
      EncodeLeaderMessage({"entry-1", LeaderTableOutdated{1ULL << 40}});
  const auto decoded = DecodeLeaderMessage({bytes.data(), bytes.size()});
  cr_assert(decoded.has_value());
  cr_assert_eq(std::get<LeaderTableOutdated>(decoded.value().content).term,
               1ULL << 40);
}

Test(leader_message_codec, poison_request_round_trip) {
  const std::string lost = EncodeLeaderMessage(
      {"entry-1", LeaderTargetsLost{{{1, Milliseconds(9), Milliseconds(8)},
                                     {UINT64_MAX, Milliseconds(70),
                                      Milliseconds(60), UINT64_MAX - 1}}}});
  auto decoded = DecodeLeaderMessage({lost.data(), lost.size()});
  cr_assert(decoded.has_value());
  const auto& targets_lost =
      std::get<LeaderTargetsLost>(decoded.value().content);
  cr_assert_eq(targets_lost.losses.size(), 2);
  cr_assert_eq(targets_lost.losses[1].digest, UINT64_MAX);
  cr_assert(targets_lost.losses[1].sent_ago == Milliseconds(70));
  cr_assert(targets_lost.losses[1].lost_ago == Milliseconds(60));
  cr_assert_eq(targets_lost.losses[0].number, 0);
  cr_assert_eq(targets_lost.losses[1].number, UINT64_MAX - 1);
  const std::string harmless =
      EncodeLeaderMessage({"entry-1", LeaderRequestHarmless{5}});
  decoded = DecodeLeaderMessage({harmless.data(), harmless.size()});
  cr_assert(decoded.has_value());
  cr_assert_eq(std::get<LeaderRequestHarmless>(decoded.value().content).digest,
               5);
  const std::string blocked =
      EncodeLeaderMessage({"entry-1", LeaderRequestsBlocked{{1, UINT64_MAX}}});
  decoded = DecodeLeaderMessage({blocked.data(), blocked.size()});
  cr_assert(decoded.has_value());
  cr_assert(std::get<LeaderRequestsBlocked>(decoded.value().content).digests ==
            std::vector<RequestDigest>({1, UINT64_MAX}));
}

Test(leader_message_codec, target_leaving_round_trip) {
  const std::string bytes = EncodeLeaderMessage(
      {"entry-1", LeaderTargetLeaving{"target-1", 1754000000123}});
  const auto decoded = DecodeLeaderMessage({bytes.data(), bytes.size()});
  cr_assert(decoded.has_value());
  const auto& leaving = std::get<LeaderTargetLeaving>(decoded.value().content);
  cr_assert(leaving.target == "target-1");
  cr_assert_eq(leaving.start_time_ms, 1754000000123);
}

// Guards against a process that terminates because of a datagram that is not a
// leader message.
Test(leader_message_codec, malformed_datagrams_are_rejected) {
  const std::string datagram(300, '\x7f');
  for (std::size_t size = 0; size < datagram.size(); ++size) {
    cr_assert_not(DecodeLeaderMessage({datagram.data(), size}).has_value());
  }
}

}  // namespace
}  // namespace snipehall
