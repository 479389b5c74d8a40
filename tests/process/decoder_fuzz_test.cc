#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "platform/duration_text.h"
#include "platform/policy_document.h"
#include "platform/settings_file.h"
#include "platform/store_records.h"
#include "platform/target_entry.h"
#include "protocol/gateway_headers.h"
#include "protocol/http_head_checks.h"
#include "protocol/key_table_codec.h"
#include "protocol/leader_message_codec.h"
#include "protocol/record_page_codec.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

// Inputs for each decoder; SNIPEHALL_FUZZ_INPUTS replaces the number, and
// SNIPEHALL_FUZZ_SEED the seed.
constexpr std::uint64_t kDefaultInputs = 20000;
constexpr std::uint64_t kDefaultSeed = 1;

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t fallback) {
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Changes valid messages at random: bits, bytes, numbers, and parts that are
// removed, repeated or taken from another message.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : m_random(seed) {}

  std::string Mutate(const std::vector<std::string>& samples) {
    std::string text = samples[Below(samples.size())];
    for (std::size_t changes = 1 + Below(4); changes > 0; --changes) {
      Change(text, samples);
    }
    return text;
  }

 private:
  std::size_t Below(std::size_t limit) {
    return limit == 0 ? 0 : m_random() % limit;
  }

  void Change(std::string& text, const std::vector<std::string>& samples) {
    static const std::vector<std::string> kTokens = {"-1",
                                                     "0",
                                                     "18446744073709551616",
                                                     "9223372036854775807",
                                                     "1e99",
                                                     "null",
                                                     "\"\"",
                                                     "[]",
                                                     "{}",
                                                     "\r\n",
                                                     std::string(1, '\0'),
                                                     "\xff\xfe",
                                                     "ms",
                                                     "99999999999999999s"};
    const std::size_t at = Below(text.size() + 1);
    const std::size_t size = Below(std::min<std::size_t>(40, text.size()) + 1);
    switch (Below(7)) {
      case 0:
        if (at < text.size()) {
          text[at] = static_cast<char>(text[at] ^ (1U << Below(8)));
        }
        break;
      case 1:
        if (at < text.size()) {
          text[at] = static_cast<char>(m_random());
        }
        break;
      case 2:
        text.erase(at, size);
        break;
      case 3:
        text.insert(at, text.substr(Below(text.size() + 1), size));
        break;
      case 4:
        text.resize(at);
        break;
      case 5: {
        const std::string& other = samples[Below(samples.size())];
        text.replace(at, std::min(size, text.size() - at),
                     other.substr(Below(other.size() + 1), size));
        break;
      }
      default:
        text.replace(at, std::min(Below(6), text.size() - at),
                     kTokens[Below(kTokens.size())]);
        break;
    }
  }

  std::mt19937_64 m_random;
};

// Passes mutated samples to `decode`, which must not throw, crash or hang, and
// the samples themselves, which it must accept.
void Fuzz(const std::vector<std::string>& samples,
          const std::function<bool(const std::string&)>& decode) {
  const std::uint64_t seed =
      NumberFromEnvironment("SNIPEHALL_FUZZ_SEED", kDefaultSeed);
  const std::uint64_t inputs =
      NumberFromEnvironment("SNIPEHALL_FUZZ_INPUTS", kDefaultInputs);
  for (const std::string& sample : samples) {
    cr_assert(decode(sample), "a valid message is rejected");
  }
  Mutator mutator(seed);
  std::string input;
  for (std::uint64_t i = 0; i < inputs; ++i) {
    input = mutator.Mutate(samples);
    try {
      decode(input);
    } catch (const std::exception& error) {
      std::string hex;
      for (const char c : input) {
        std::array<char, 4> digits;
        std::snprintf(digits.data(), digits.size(), "%02x",
                      static_cast<unsigned char>(c));
        hex += digits.data();
      }
      cr_assert(false, "seed %llu, input %llu: %s: %s",
                static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(i), error.what(), hex.c_str());
    }
  }
}

KeyTable Table() {
  KeyTable table;
  table.leader = "edge-1";
  table.leader_incarnation = 1ULL << 63;
  table.term = 3;
  table.leader_address = "10.1.0.1:7620";
  table.fencing_token = 9;
  table.services["catalog"] = {{0, 100, "t-1", 5, 8, ""},
                               {101, kLastKey, "t-2", 6, 9, "t-1"}};
  return table;
}

Test(decoder_fuzz, leader_message, .timeout = 600) {
  KeyLoadReport load;
  load.service = "catalog";
  load.keys = {1, 2, 65535};
  std::vector<std::string> samples;
  for (const LeaderMessage& message : std::vector<LeaderMessage>{
           {"a", LeaderReport{"zone", "10.1.0.1:7620", load, 100}},
           {"b", LeaderServing{"10.1.0.1:7620", 200, 8}},
           {"c", LeaderMovesCompleted{{1, 2, 3}}},
           {"d", LeaderNotServing{}},
           {"e", LeaderReplaced{4, Milliseconds(900), 1ULL << 63}},
           {"f", LeaderPermitRequest{7, "target", 3.5}},
           {"g", LeaderPermitResponse{7, false, Milliseconds(90)}},
           {"h", LeaderTableOutdated{5}},
           {"i", LeaderTargetsLost{{{6, Milliseconds(70), Milliseconds(60)}}}},
           {"j", LeaderRequestHarmless{6}},
           {"k", LeaderRequestsBlocked{{6, 7}}},
           {"l", LeaderTargetLeaving{"target", 1754000000123}}}) {
    samples.push_back(EncodeLeaderMessage(message));
  }
  Fuzz(samples, [](const std::string& input) {
    return DecodeLeaderMessage(input).has_value();
  });
}

Test(decoder_fuzz, record_page, .timeout = 600) {
  RecordPage page;
  page.end_offset = 7;
  page.records = {{"key", "value"}, {"other", ""}};
  const MonotonicTime now = std::chrono::steady_clock::now();
  page.received_at = now;
  Fuzz({EncodeRecordPage(page, now), EncodeRecordPage({}, now)},
       [now](const std::string& input) {
         return DecodeRecordPage(input, now).has_value();
       });
}

Test(decoder_fuzz, key_table, .timeout = 600) {
  Fuzz({EncodeKeyTable(Table()), EncodeKeyTable({})},
       [](const std::string& input) {
         const auto table = DecodeKeyTable(input);
         if (table) {
           // Lookups rely on ranges without gaps.
           (void)table.value().Find("catalog", 0);
           (void)table.value().Find("catalog", kLastKey);
         }
         return table.has_value();
       });
}

Test(decoder_fuzz, store_records, .timeout = 600) {
  const std::string offsets(16, '\0');
  Fuzz({offsets + platform::EncodeRecord({"key", "value"}) +
            platform::EncodeRecord({"k", ""}),
        offsets},
       [](const std::string& input) {
         return platform::DecodeRecords(input, 5).has_value();
       });
}

Test(decoder_fuzz, target_entry, .timeout = 600) {
  const std::string entry =
      R"({"Info":{"Service":"catalog","Zone":"zone-1","Version":"1",)"
      R"("Slots":3},"Status":{"State":"ready","Sequence":4,)"
      R"("ColdLeft":"1500ms"},"Address":"10.1.0.9:80","born":1700000000000})";
  Fuzz({entry}, [](const std::string& input) {
    return platform::ParseTargetEntry("t", input,
                                      std::chrono::steady_clock::now())
        .has_value();
  });
}

Test(decoder_fuzz, policy_document, .timeout = 600) {
  const std::string document =
      R"({"Version":4,"Limits":{"MaxHeaderBytes":16384,)"
      R"("MaxBodyBytes":67108864,"HeaderTimeout":"3000ms",)"
      R"("IdleTimeout":"15s"},"Listeners":[{"Host":"shop.example","Rules":[)"
      R"({"Name":"catalog","Kind":"idempotent","TargetLatency":"600ms",)"
      R"("Priority":2,"Match":{"PathPrefix":"/catalog/"},"Action":)"
      R"({"Service":"catalog","Timeout":"2000ms","MaxAttempts":2}}]}],)"
      R"("Clusters":[{"Name":"catalog","HealthPath":"/health",)"
      R"("MaxConnections":130,"Protocol":"h1","Tls":false,"Sharded":true,)"
      R"("WarmUp":"3s","Grants":"call"}]})";
  Fuzz({document}, [](const std::string& input) {
    return platform::ParsePolicyDocument(input).has_value();
  });
}

Test(decoder_fuzz, settings, .timeout = 600) {
  const std::string settings =
      "[Local]\nNodeName = \"edge-1\"\nIp = \"10.1.0.1\"\nZone = \"zone-1\"\n"
      "[Local.Limits]\nMemoryMb = 160\nLinkMbps = 20.0\n"
      "[Network]\nInternalPorts = [7620, 7635]\n[Network.Listen]\n"
      "Front = \"10.1.0.1:80\"\nReady = \"10.1.0.1:81\"\n"
      "[Platform.Platform]\nAddress = \"10.1.0.2:82\"\n[Terms.Bounds]\n"
      "RetryBudgetRatio = 0.2\nRetryBudgetBase = 124\nBudgetWindow = \"10s\"\n"
      "Grace = \"6s\"\n";
  Fuzz({settings}, [](const std::string& input) {
    return platform::ParseSettings(input).has_value();
  });
}

Test(decoder_fuzz, duration, .timeout = 600) {
  Fuzz({"1500ms", "2.5s", "0ms"}, [](const std::string& input) {
    return platform::ParseDuration(input).has_value();
  });
}

Test(decoder_fuzz, request_head, .timeout = 600) {
  namespace http = boost::beast::http;
  const std::string head =
      "POST /catalog/item?x=1 HTTP/1.1\r\nHost: shop.example\r\n"
      "Snipehall-Request-Id: a\r\nSnipehall-Deadline-Ms: 1200\r\n"
      "Snipehall-Key: 77\r\nTransfer-Encoding: chunked\r\n\r\n";
  Fuzz({head}, [](const std::string& input) {
    if (FindHeadEnd(input) != input.size() || !CheckHeadBytes(input)) {
      return false;
    }
    http::request_parser<http::string_body> parser;
    boost::system::error_code error;
    parser.put(boost::asio::buffer(input), error);
    if (error || !parser.is_header_done() || !CheckRequestHead(parser.get())) {
      return false;
    }
    const auto info = ParseGatewayRequest(parser.get(), GatewayHeaderNames());
    std::string out;
    AppendTargetRequest(parser.get(), GatewayHeaderNames(), "t",
                        Milliseconds(5), 0, out);
    return info.has_value();
  });
}

}  // namespace
}  // namespace snipehall::test
