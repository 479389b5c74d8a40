#include "support/admin_fixture.h"

#include "state/hash_range.h"
#include "transport/admin/admin_access.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

namespace json = boost::json;
namespace http = boost::beast::http;
using testing::AdminFixture;
using testing::FakeControl;
using testing::HttpResponse;
using testing::MakeConfiguration;
using testing::MakeDocument;

constexpr char kToken[] = "0123456789abcdef";

json::object MakePublication(LogOffset based_on) {
  return {{"based_on", based_on},
          {"author", "ana"},
          {"reason", "quarterly policy"},
          {"document", MakeDocument()}};
}

std::string ErrorMember(const HttpResponse& response, std::string_view name) {
  return std::string(
      response.json().at("error").as_object().at(name).as_string());
}

void ExpectError(const HttpResponse& response,
                 unsigned status,
                 const char* code,
                 const char* pointer) {
  cr_assert_eq(response.status, status, "status %u: %s", response.status,
               response.body.c_str());
  cr_assert(ErrorMember(response, "code") == code, "%s", response.body.c_str());
  cr_assert(ErrorMember(response, "pointer") == pointer, "%s",
            response.body.c_str());
  // All errors have the same five members.
  cr_assert_eq(response.json().at("error").as_object().size(), 5U);
}

}  // namespace

// Guards against a publication that is reported as accepted but does not take
// effect.
Test(admin_api, published_document_is_in_force) {
  AdminFixture fixture;
  auto client = fixture.Connect();
  const auto before = client.Get("/admin/v1/configuration").json();
  cr_assert_eq(before.at("offset").to_number<int>(), 0);
  cr_assert(before.at("configuration").is_null());
  const auto response =
      client.Post("/admin/v1/configuration", MakePublication(0));
  cr_assert_eq(response.status, 200U, "%s", response.body.c_str());
  cr_assert_eq(response.json().at("outcome").as_string(), "accepted");
  cr_assert_eq(response.json().at("offset").to_number<int>(), 1);
  const auto after = client.Get("/admin/v1/configuration").json();
  cr_assert_eq(after.at("offset").to_number<int>(), 1);
  cr_assert_eq(after.at("author").as_string(), "ana");
  cr_assert_eq(after.at("reason").as_string(), "quarterly policy");
  Configuration parsed;
  cr_assert(
      ParseConfiguration(json::serialize(after.at("configuration")), parsed)
          .empty());
  cr_assert(parsed == MakeConfiguration());
}

// Guards against a lost update: when two documents are based on the same
// offset, the second one must be rejected, and the error reports both offsets.
Test(admin_api, conflict_names_both_offsets) {
  AdminFixture fixture;
  auto client = fixture.Connect();
  client.Post("/admin/v1/configuration", MakePublication(0));
  client.Post("/admin/v1/configuration", MakePublication(1));
  const auto response =
      client.Post("/admin/v1/configuration", MakePublication(1));
  ExpectError(response, 409, "conflict", "/based_on");
  cr_assert(ErrorMember(response, "value") == "1");
  cr_assert(ErrorMember(response, "allowed") == "2");
  // The record is based on an offset that this instance has not read, so the
  // conflict is detected only when the record is applied.
  ExpectError(client.Post("/admin/v1/configuration", MakePublication(9)), 409,
              "conflict", "/based_on");
}

// Guards against a check whose errors differ from those of a publication, and
// against errors other than those of the record codec.
Test(admin_api, check_and_publish_report_the_same_errors) {
  AdminFixture fixture;
  auto client = fixture.Connect();
  json::object publication = MakePublication(0);
  json::object& document = publication.at("document").as_object();
  document["zones"].as_array()[1].as_object()["name"] = "a";
  document["plans"] = json::array{json::object{{"kind", "drain"}}};
  const auto published = client.Post("/admin/v1/configuration", publication);
  ExpectError(published, 422, "invalid_argument", "/plans/0/target");
  const auto checked = client.Post("/admin/v1/configuration/check",
                                   json::object{{"document", document}});
  cr_assert_eq(checked.status, 200U);
  cr_assert_not(checked.json().at("valid").as_bool());
  cr_assert(checked.json().at("errors") == published.json().at("errors"));
  const auto valid = client.Post("/admin/v1/configuration/check",
                                 json::object{{"document", MakeDocument()}});
  cr_assert(valid.json().at("valid").as_bool());
}

// Guards against a submission that is reported as failed although it may take
// effect, and against an unreported rejection because of overload.
Test(admin_api, submission_failures_are_reported) {
  AdminFixture fixture;
  auto client = fixture.Connect();
  fixture.control.mode = FakeControl::Mode::kBusy;
  ExpectError(client.Post("/admin/v1/configuration", MakePublication(0)), 503,
              "busy", "");
  fixture.control.mode = FakeControl::Mode::kNeverCallBack;
  ExpectError(client.Post("/admin/v1/configuration", MakePublication(0)), 504,
              "timeout", "");
}

// Guards against requests that take effect although members are missing,
// misspelt or malformed.
Test(admin_api, malformed_requests_are_refused) {
  AdminFixture fixture;
  auto client = fixture.Connect();
  json::object publication = MakePublication(0);
  publication.erase("author");
  ExpectError(client.Post("/admin/v1/configuration", publication), 400,
              "invalid_argument", "/author");
  publication = MakePublication(0);
  publication["base_on"] = 1;
  ExpectError(client.Post("/admin/v1/configuration", publication), 400,
              "invalid_argument", "/base_on");
  publication = MakePublication(0);
  publication["based_on"] = 1.5;
  ExpectError(client.Post("/admin/v1/configuration", publication), 400,
              "invalid_argument", "/based_on");
  publication = MakePublication(0);
  publication["reason"] = "";
  ExpectError(client.Post("/admin/v1/configuration", publication), 400,
              "invalid_argument", "/reason");
  ExpectError(client.Call(http::verb::post, "/admin/v1/configuration", "{",
                          {{"Content-Type", "application/json"}}),
              400, "invalid_argument", "");
  ExpectError(client.Post("/admin/v1/configuration", json::array{}), 400,
              "invalid_argument", "");
  ExpectError(client.Get("/admin/v1/other"), 404, "not_found", "");
  ExpectError(client.Get("/admin/v1/drain"), 405, "invalid_argument", "");
  ExpectError(client.Call(http::verb::delete_, "/admin/v1/configuration"), 405,
              "invalid_argument", "");
  cr_assert_null(fixture.control.Status()->state.configuration());
}

// Guards against an undo that loses history or restores the wrong document.
Test(admin_api, undo_publishes_an_earlier_document_again) {
  AdminFixture fixture;
  const Configuration first = MakeConfiguration();
  Configuration second = first;
  second.tenants = {{"shop", 2}};
  fixture.control.Publish(first);
  fixture.control.Publish(second);
  auto client = fixture.Connect();
  json::object undo{{"based_on", 2}, {"author", "ana"}, {"reason", "undo"}};
  cr_assert_eq(client.Post("/admin/v1/configuration/undo", undo).status, 200U);
  cr_assert(fixture.control.Status()->state.configuration()->configuration ==
            first);
  ExpectError(client.Post("/admin/v1/configuration/undo", undo), 409,
              "conflict", "/based_on");
  undo["based_on"] = 3;
  undo["to"] = 2;
  cr_assert_eq(client.Post("/admin/v1/configuration/undo", undo).status, 200U);
  cr_assert(fixture.control.Status()->state.configuration()->configuration ==
            second);
  undo["based_on"] = 4;
  undo["to"] = 77;
  ExpectError(client.Post("/admin/v1/configuration/undo", undo), 404,
              "not_found", "/to");
  const auto history =
      client.Get("/admin/v1/configuration/history").json().at("entries");
  cr_assert_eq(history.as_array().size(), 4U);
  cr_assert(client.Get("/admin/v1/configuration?offset=1")
                .json()
                .at("configuration") ==
            json::parse(EncodeConfiguration(first)));
  ExpectError(client.Get("/admin/v1/configuration?offset=9"), 404, "not_found",
              "/offset");
}

// Guards against a drain that bypasses the configuration document, and against
// drains of targets that do not exist.
Test(admin_api, drain_adds_a_plan_to_the_document) {
  AdminFixture fixture;
  fixture.control.SetInstances(
      {{"gearshelf-1", PlatformRole::kTarget, "gearshelf", "a", "127.0.0.1:1",
        false},
       {"entry-1", PlatformRole::kEntry, "", "a", "127.0.0.1:2", false}});
  auto client = fixture.Connect();
  json::object drain{
      {"target", "gearshelf-1"}, {"author", "ana"}, {"reason", "repair"}};
  ExpectError(client.Post("/admin/v1/drain", drain), 404, "not_found", "");
  fixture.control.Publish(MakeConfiguration());
  cr_assert_eq(client.Post("/admin/v1/drain", drain).status, 200U);
  cr_assert(
      fixture.control.Status()->state.configuration()->configuration.IsDrained(
          "gearshelf-1"));
  ExpectError(client.Post("/admin/v1/drain", drain), 400, "invalid_argument",
              "/target");
  drain["target"] = "entry-1";
  ExpectError(client.Post("/admin/v1/drain", drain), 400, "invalid_argument",
              "/target");
  drain["kind"] = "kill";
  ExpectError(client.Post("/admin/v1/drain", drain), 400, "invalid_argument",
              "/kind");
}

// Guards against reporting an owner other than the one that requests are routed
// to.
Test(admin_api, owner_is_found_by_key_hash) {
  AdminFixture fixture;
  fixture.control.Append(
      {"", "lead", 0,
       AssignmentRecord{
           "gearshelf",
           {{{0, HashKey("board 7")}, "gearshelf-1", "a"},
            {{HashKey("board 7") + 1, UINT64_MAX}, "gearshelf-2", "b"}}}});
  auto client = fixture.Connect();
  const auto response =
      client.Get("/admin/v1/owner?service=gearshelf&key=board%207").json();
  cr_assert_eq(response.at("owner").as_string(), "gearshelf-1");
  cr_assert_eq(response.at("token").to_number<int>(), 1);
  cr_assert(
      client.Get("/admin/v1/owner?service=gearshelf&key=board+7").json() ==
      response);
  ExpectError(client.Get("/admin/v1/owner?service=other&key=1"), 404,
              "not_found", "/service");
  ExpectError(client.Get("/admin/v1/owner?service=gearshelf"), 400,
              "invalid_argument", "");
  ExpectError(client.Get("/admin/v1/owner?service=%zz&key=1"), 400,
              "invalid_argument", "");
}

// Guards against a status without the members that operators need to diagnose
// a failure.
Test(admin_api, status_shows_the_instance_and_the_log) {
  AdminFixture fixture;
  fixture.control.Publish(MakeConfiguration());
  const auto status =
      fixture.Connect().Get("/admin/v1/status").json().as_object();
  cr_assert_eq(status.at("instance").as_string(), "entry-1");
  cr_assert_eq(status.at("configuration_offset").to_number<int>(), 1);
  cr_assert_not(status.at("log_reachable").as_bool());
  cr_assert_not(status.at("ready").as_bool());
}

// Guards against administration requests without a valid token.
Test(admin_api, token_is_required) {
  AdminFixture fixture(kToken);
  auto client = fixture.Connect();
  const std::string path = "/admin/v1/configuration";
  ExpectError(client.Get(path), 401, "refused", "");
  for (const char* field :
       {"Bearer 0123456789abcdeX", "Bearer 0123456789abcde",
        "Bearer 0123456789abcdef0", "Bearer ", "Basic 0123456789abcdef"}) {
    ExpectError(client.Get(path, {{"Authorization", field}}), 401, "refused",
                "");
  }
  const testing::Headers valid_token = {
      {"Authorization", std::string("Bearer ") + kToken}};
  cr_assert_eq(client.Get(path, valid_token).status, 200U);
  cr_assert_eq(client.Get("/healthz").status, 200U);
  cr_assert_eq(client.Get("/metrics").status, 200U);
}

// Guards against cross-site request forgery by a form on another site, and
// against DNS rebinding, where a foreign host name resolves to the listener.
Test(admin_api, cross_site_requests_are_refused) {
  AdminFixture fixture;
  auto client = fixture.Connect();
  const std::string body = json::serialize(MakePublication(0));
  for (const char* type : {"text/plain", "application/x-www-form-urlencoded",
                           "application/jsonx"}) {
    ExpectError(client.Call(http::verb::post, "/admin/v1/configuration", body,
                            {{"Content-Type", type}}),
                415, "invalid_argument", "");
  }
  ExpectError(client.Get("/admin/v1/status", {{"Host", "evil.example:8080"}}),
              403, "refused", "");
  for (const char* host : {"localhost:80", "127.0.0.1:80", "[::1]:80"}) {
    cr_assert_eq(client.Get("/admin/v1/status", {{"Host", host}}).status, 200U);
  }
}

// Guards against a listener that is reachable from the network without a token.
Test(admin_api, non_loopback_listener_requires_a_token) {
  FakeControl control;
  AdminServer::Options options;
  options.address = "0.0.0.0:0";
  options.backend = control.backend();
  options.registry = std::make_shared<prometheus::Registry>();
  const auto server = AdminServer::Start(options);
  cr_assert_not(server.has_value());
  cr_assert_str_eq(server.error().pointer.c_str(), "/admin_address");
}

// Guards against requests that exhaust the daemon's memory.
Test(admin_api, oversized_requests_are_refused) {
  AdminFixture fixture;
  const std::string body(AdminServer::kMaxBodyBytes + 1, ' ');
  ExpectError(
      fixture.Connect().Call(http::verb::post, "/admin/v1/configuration/check",
                             body, {{"Content-Type", "application/json"}}),
      413, "invalid_argument", "");
  ExpectError(
      fixture.Connect().Get("/healthz", {{"X-Long", std::string(20000, 'x')}}),
      431, "invalid_argument", "");
}

// Guards against clients that hold connections open without completing a
// request.
Test(admin_api, slow_clients_are_disconnected) {
  AdminFixture fixture("", Milliseconds(50));
  auto client = fixture.Connect();
  boost::asio::write(client.socket(),
                     boost::asio::buffer("GET /healthz HTTP/1.1\r\nHo", 25));
  char byte = 0;
  boost::system::error_code error;
  client.socket().read_some(boost::asio::buffer(&byte, 1), error);
  cr_assert(error == boost::asio::error::eof ||
            error == boost::asio::error::connection_reset);
}

// Guards against callers being sent to an instance that does not know the range
// owners yet, or that is shutting down.
Test(admin_api, readiness_follows_the_state) {
  AdminFixture fixture;
  auto client = fixture.Connect();
  cr_assert_eq(client.Get("/readyz").status, 503U);
  fixture.control.ready = true;
  cr_assert_eq(client.Get("/readyz").status, 200U);
  fixture.server->BeginShutdown();
  cr_assert_eq(client.Get("/readyz").status, 503U);
  cr_assert_eq(client.Get("/healthz").status, 200U);
  cr_assert(client.Get("/metrics")
                .body.find("snipehall_admin_requests_total{code=\"200\"} 2") !=
            std::string::npos);
}

// Guards against a token file that is empty, truncated or malformed.
Test(admin_api, token_files_are_checked) {
  char name[] = "/tmp/admin_api_test_XXXXXX";
  close(mkstemp(name));
  const auto load = [&name](std::string_view text) {
    std::FILE* file = std::fopen(name, "w");
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
    return LoadToken(name);
  };
  cr_assert(load("0123456789abcdef\n").value() == kToken);
  for (const char* text : {"", "\n", "short\n", "0123456789 abcdef",
                           "0123456789abcdef\n0123456789abcdef\n"}) {
    cr_assert_not(load(text).has_value(), "accepted '%s'", text);
  }
  std::remove(name);
  cr_assert_not(LoadToken(name).has_value());
}

}  // namespace snipehall
