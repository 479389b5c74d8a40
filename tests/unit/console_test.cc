#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "support/admin_fixture.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

namespace http = boost::beast::http;
using testing::AdminFixture;
using testing::Headers;
using testing::HttpResponse;
using testing::MakeConfiguration;

constexpr char kToken[] = "0123456789abcdef";
constexpr char kFormType[] = "application/x-www-form-urlencoded";

using Form = std::vector<std::pair<std::string, std::string>>;

std::string Encode(const Form& form) {
  std::string text;
  for (const auto& [name, value] : form) {
    text += text.empty() ? "" : "&";
    text +=
        name + "=" + boost::urls::encode(value, boost::urls::unreserved_chars);
  }
  return text;
}

bool Contains(const HttpResponse& response, std::string_view text) {
  return response.body.find(text) != std::string::npos;
}

std::string Unescape(std::string text) {
  for (const auto& [from, to] :
       {std::pair("&quot;", "\""), std::pair("&#39;", "'"),
        std::pair("&lt;", "<"), std::pair("&gt;", ">"),
        std::pair("&amp;", "&")}) {
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos;
         ++at) {
      text.replace(at, std::string_view(from).size(), to);
    }
  }
  return text;
}

// Returns the value of the first hidden field with the name.
std::string HiddenField(const HttpResponse& response, const std::string& name) {
  const std::string start = "name=\"" + name + "\" value=\"";
  const std::size_t at = response.body.find(start);
  cr_assert_neq(at, std::string::npos, "no field %s", name.c_str());
  const std::size_t first = at + start.size();
  return Unescape(
      response.body.substr(first, response.body.find('"', first) - first));
}

// Simulates an operator's browser. Submitted forms include the hidden fields of
// the last page.
class Browser {
 public:
  explicit Browser(const AdminFixture& fixture, Headers headers = {})
      : m_client(fixture.Connect()), m_headers(std::move(headers)) {
    Open("/console");
  }

  HttpResponse Open(const std::string& path) {
    page = m_client.Get(path, m_headers);
    return page;
  }

  // Submits a form of the last page. Keeps the response as the new page unless
  // it is a redirect.
  HttpResponse Submit(Form form, const std::string& path = "/console/draft") {
    for (const char* name : {"csrf", "based_on", "journal"}) {
      form.emplace_back(name, HiddenField(page, name));
    }
    HttpResponse response = Post(form, path);
    if (response.status != 303) {
      page = response;
    }
    return response;
  }

  HttpResponse Post(const Form& form, const std::string& path) {
    Headers headers = m_headers;
    headers.emplace_back("Content-Type", kFormType);
    return m_client.Call(http::verb::post, path, Encode(form), headers);
  }

  HttpResponse Edit(Form form) {
    form.emplace_back("action", "edit");
    return Submit(std::move(form));
  }

  HttpResponse Publish() {
    return Submit(
        {{"action", "publish"}, {"author", "ana"}, {"reason", "policy"}});
  }

  HttpResponse page;

 private:
  testing::HttpClient m_client;
  Headers m_headers;
};

const Configuration& PublishedConfiguration(const AdminFixture& fixture) {
  static std::shared_ptr<const ControlStatus> status;
  status = fixture.control.Status();
  return status->state.configuration()->configuration;
}

}  // namespace

// Guards against forms that produce a document other than the one entered.
Test(console, forms_can_create_a_whole_document) {
  AdminFixture fixture;
  Browser browser(fixture);
  browser.Edit({{"kind", "add_zone"}, {"name", "a"}, {"region", "r"}});
  browser.Edit({{"kind", "add_zone"}, {"name", "b"}, {"region", "r"}});
  browser.Edit({{"kind", "add_service"},
                {"name", "gearshelf"},
                {"keyed", "yes"},
                {"checks", "yes"},
                {"slots", "3"},
                {"connections", "100"},
                {"class", "lookup"},
                {"deadline_ms", "1000"},
                {"reserved", "0"},
                {"queue", "256"}});
  cr_assert_eq(browser.page.status, 200U);
  cr_assert(Contains(browser.page, "add keyed service gearshelf"));
  const HttpResponse published = browser.Publish();
  cr_assert_eq(published.status, 303U, "%s", published.body.c_str());
  cr_assert_eq(published.fields["Location"], "/console?published=1");
  cr_assert(
      Contains(browser.Open("/console?published=1"), "Accepted at offset 1."));
  cr_assert(PublishedConfiguration(fixture) == MakeConfiguration());
}

// Guards against a form whose edit has no effect.
Test(console, every_form_edits_the_draft) {
  AdminFixture fixture;
  fixture.control.Publish(MakeConfiguration());
  Browser browser(fixture);
  browser.Edit({{"kind", "add_class"},
                {"service", "gearshelf"},
                {"name", "photo"},
                {"deadline_ms", "60000"},
                {"reserved", "30"},
                {"queue", "8"}});
  browser.Edit({{"kind", "set_limit"},
                {"service", "gearshelf"},
                {"class", "lookup"},
                {"limit", "reserved_slots_percent"},
                {"value", "70"}});
  browser.Edit({{"kind", "set_limit"},
                {"service", "gearshelf"},
                {"limit", "move_after_s"},
                {"value", "30"}});
  browser.Edit({{"kind", "set_limit"},
                {"tenant", "shop"},
                {"limit", "weight"},
                {"value", "3"}});
  browser.Edit({{"kind", "add_key_range"},
                {"service", "gearshelf"},
                {"first", "0000000000000000"},
                {"last", "00000000000000ff"},
                {"zone", "b"}});
  browser.Edit({{"kind", "split_key_range"},
                {"service", "gearshelf"},
                {"at", "c000000000000000"},
                {"zone", "a"}});
  browser.Edit({{"kind", "add_plan"}, {"target", "t1"}, {"plan", "stop"}});
  browser.Edit({{"kind", "add_plan"}, {"target", "t2"}, {"plan", "drain"}});
  browser.Edit({{"kind", "remove_plan"}, {"target", "t1"}});
  cr_assert(Contains(browser.page, "/services/gearshelf/classes/photo"));
  cr_assert_eq(browser.Publish().status, 303U);
  const Configuration& document = PublishedConfiguration(fixture);
  const ServiceConfig& service = document.services[0];
  cr_assert(service.classes[1] ==
            (ClassConfig{"photo", Milliseconds(60000), 30, 8}));
  cr_assert_eq(service.classes[0].reserved_slots_percent, 70);
  cr_assert_eq(service.move_after->count(), 30000);
  cr_assert_eq(service.key_ranges.size(), 4U);
  cr_assert(service.key_ranges[3] ==
            (KeyRangeConfig{{0xc000000000000000, UINT64_MAX}, "a"}));
  cr_assert(document.tenants == (std::vector<TenantConfig>{{"shop", 3}}));
  cr_assert(document.plans ==
            (std::vector<PlanConfig>{{PlanKind::kDrain, "t2"}}));
}

// Guards against publishing an invalid draft, and against errors that are not
// displayed next to the field that caused them.
Test(console, errors_are_displayed_next_to_their_field) {
  AdminFixture fixture;
  fixture.control.Publish(MakeConfiguration());
  Browser browser(fixture);
  browser.Edit({{"kind", "set_limit"},
                {"service", "gearshelf"},
                {"class", "lookup"},
                {"limit", "reserved_slots_percent"},
                {"value", "101"}});
  const std::string pointer = "/services/0/classes/0/reserved_slots_percent";
  const std::size_t cell = browser.page.body.find("<td id=\"" + pointer);
  cr_assert_neq(cell, std::string::npos);
  const std::string content = browser.page.body.substr(
      cell, browser.page.body.find("</td>", cell) - cell);
  cr_assert_neq(content.find("found: 101; allowed: integer from 0 to 100"),
                std::string::npos, "%s", content.c_str());
  cr_assert(Contains(browser.page, "<a href=\"#" + pointer));
  cr_assert_eq(browser.Publish().status, 422U);
  cr_assert_eq(fixture.control.Status()->state.offset(), 1U);
}

// Guards against losing the draft when the operator enters a malformed value.
Test(console, refused_edits_keep_the_draft) {
  AdminFixture fixture;
  Browser browser(fixture);
  browser.Edit({{"kind", "add_zone"}, {"name", "a"}, {"region", "r"}});
  for (const Form& form :
       {Form{{"kind", "add_zone"}, {"name", "a"}, {"region", "r"}},
        Form{{"kind", "set_limit"},
             {"tenant", "t"},
             {"limit", "weight"},
             {"value", "many"}},
        Form{{"kind", "other"}}}) {
    cr_assert_eq(browser.Edit(form).status, 422U);
    cr_assert(Contains(browser.page, "Refused"));
    cr_assert(Contains(browser.page, "add zone a in region r"));
  }
}

// Guards against an undo that removes an edit other than the last one.
Test(console, the_last_edit_can_be_undone) {
  AdminFixture fixture;
  Browser browser(fixture);
  browser.Edit({{"kind", "add_zone"}, {"name", "a"}, {"region", "r"}});
  browser.Edit({{"kind", "add_zone"}, {"name", "b"}, {"region", "r"}});
  browser.Submit({{"action", "undo"}});
  cr_assert(Contains(browser.page, "add zone a"));
  cr_assert_not(Contains(browser.page, "add zone b"));
  browser.Submit({{"action", "undo"}});
  cr_assert_not(Contains(browser.page, "add zone a"));
}

// Guards against a draft that overwrites a document that was published since
// the draft was started.
Test(console, conflicting_draft_is_refused_and_can_be_rebased) {
  AdminFixture fixture;
  fixture.control.Publish(MakeConfiguration());
  Browser browser(fixture);
  browser.Edit({{"kind", "add_plan"}, {"target", "t1"}, {"plan", "drain"}});
  Configuration other = MakeConfiguration();
  other.tenants = {{"shop", 5}};
  fixture.control.Publish(other);
  const HttpResponse refused = browser.Publish();
  cr_assert_eq(refused.status, 409U);
  cr_assert(Contains(refused, "edited from offset 1"));
  cr_assert(Contains(refused, "offset 2 is in force"));
  browser.Submit({{"action", "rebase"}});
  cr_assert_eq(browser.Publish().status, 303U);
  other.plans = {{PlanKind::kDrain, "t1"}};
  cr_assert(PublishedConfiguration(fixture) == other);
}

// Guards against a publication that cannot be reverted from the console.
Test(console, earlier_document_can_be_published_again) {
  AdminFixture fixture;
  fixture.control.Publish(MakeConfiguration());
  Configuration other = MakeConfiguration();
  other.tenants = {{"shop", 5}};
  fixture.control.Publish(other);
  Browser browser(fixture);
  cr_assert(Contains(browser.page, "Publish offset 1 again"));
  const Form undo = {{"to", "1"}, {"author", "ana"}, {"reason", "reversed"}};
  cr_assert_eq(browser.Submit(undo, "/console/undo").status, 303U);
  cr_assert(PublishedConfiguration(fixture) == MakeConfiguration());
  // The page is still based on the previous offset.
  cr_assert_eq(browser.Submit(undo, "/console/undo").status, 409U);
}

// Guards against script injection by values of a document.
Test(console, values_are_escaped) {
  AdminFixture fixture;
  Browser browser(fixture);
  browser.Edit({{"kind", "add_zone"},
                {"name", "<script>alert('x')</script>"},
                {"region", "\"><b>"}});
  cr_assert_eq(browser.page.status, 200U);
  cr_assert_not(Contains(browser.page, "<script>"));
  cr_assert_not(Contains(browser.page, "\"><b>"));
  cr_assert_neq(
      browser.page.fields["Content-Security-Policy"].find("default-src 'none'"),
      boost::core::string_view::npos);
}

// Guards against cross-site request forgery by a form on another site.
Test(console, forged_forms_are_refused) {
  AdminFixture fixture;
  Browser browser(fixture);
  const Form form = {{"action", "publish"},
                     {"based_on", "0"},
                     {"author", "eve"},
                     {"reason", "none"}};
  cr_assert_eq(browser.Post(form, "/console/draft").status, 403U);
  Form guessed = form;
  guessed.emplace_back("csrf", std::string(32, '0'));
  cr_assert_eq(browser.Post(guessed, "/console/draft").status, 403U);
  cr_assert_eq(browser.Post(guessed, "/console/undo").status, 403U);
  cr_assert_eq(fixture.control.Status()->state.offset(), 0U);
}

// Guards against access to the console without a valid token, and against
// accepting the CSRF token of another session.
Test(console, token_starts_a_session) {
  AdminFixture fixture(kToken);
  auto client = fixture.Connect();
  cr_assert_eq(client.Get("/console").status, 401U);
  const auto log_in = [&client](const std::string& token) {
    return client.Call(http::verb::post, "/console/login",
                       Encode({{"token", token}}),
                       {{"Content-Type", kFormType}});
  };
  cr_assert_eq(log_in("0123456789abcdee").status, 401U);
  const HttpResponse response = log_in(kToken);
  cr_assert_eq(response.status, 303U);
  const std::string cookie(response.fields["Set-Cookie"]);
  cr_assert_neq(cookie.find("; HttpOnly; SameSite=Strict"), std::string::npos);
  Browser browser(fixture, {{"Cookie", cookie.substr(0, cookie.find(';'))}});
  cr_assert_eq(browser.page.status, 200U);
  cr_assert_eq(
      browser.Edit({{"kind", "add_zone"}, {"name", "a"}, {"region", "r"}})
          .status,
      200U);
  const std::string other(log_in(kToken).fields["Set-Cookie"]);
  Browser second_browser(fixture,
                         {{"Cookie", other.substr(0, other.find(';'))}});
  second_browser.page = browser.page;
  cr_assert_eq(second_browser.Submit({{"action", "undo"}}).status, 403U);
  cr_assert_eq(
      client.Get("/console", {{"Cookie", "snipehall_session="}}).status, 401U);
}

// Guards against drafts whose length would make each page several megabytes
// large.
Test(console, draft_size_is_limited) {
  AdminFixture fixture;
  Browser browser(fixture);
  const HttpResponse response =
      browser.Post({{"action", "edit"},
                    {"csrf", HiddenField(browser.page, "csrf")},
                    {"based_on", "0"},
                    {"journal", std::string(70000, 'x')}},
                   "/console/draft");
  cr_assert_eq(response.status, 400U);
  cr_assert(Contains(response, "/journal"));
}

}  // namespace snipehall
