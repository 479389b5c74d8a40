#include "transport/admin/console_page.h"

#include <ctime>

#include "protocol/configuration_codec.h"
#include "protocol/json_pretty.h"
#include "transport/admin/html.h"

namespace snipehall {

namespace {

// An <input> element with its label.
struct Input {
  std::string_view name;
  std::string_view label;
  std::string_view value;
  std::string_view attributes = "required";
};

// Names and values of the hidden fields of a form that sets a limit.
using SetLimitFields = std::vector<std::pair<std::string_view, std::string>>;

std::string FormatTime(std::int64_t time_ms) {
  const std::time_t seconds = time_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const std::size_t size =
      std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &parts);
  return {text, size};
}

// Renders the main page from a view.
class PageWriter {
 public:
  explicit PageWriter(const ConsoleView& view) : m_view(view) {}

  std::string Render() {
    m_html.Markup(
        "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<title>snipehall console</title>"
        "<link rel=\"stylesheet\" href=\"/console/style.css\"></head><body>"
        "<h1>snipehall console</h1>");
    WriteSummary();
    WriteZones();
    for (std::size_t i = 0; i < m_view.draft.services.size(); ++i) {
      WriteService(i);
    }
    WriteNewServiceForm();
    WriteTenants();
    WritePlans();
    WriteEdits();
    WritePublishForm();
    WriteDocument();
    WriteHistory();
    m_html.Markup("</body></html>\n");
    return std::move(m_html.text());
  }

 private:
  void WriteNumber(std::uint64_t value) {
    m_html.Markup(std::to_string(value));
  }

  void WriteSummary() {
    m_html.Markup("<p>The document in force has offset ");
    WriteNumber(m_view.in_force);
    m_html.Markup("; this draft is edited from offset ");
    WriteNumber(m_view.based_on);
    m_html.Markup(".</p>");
    if (!m_view.notice.empty()) {
      m_html.Markup("<p role=\"status\" class=\"notice\">")
          .Value(m_view.notice)
          .Markup("</p>");
    }
    WriteErrorList("Refused", m_view.action_errors, "refusal");
    WriteErrorList("The draft is not valid", m_view.errors, "error");
    if (m_view.based_on < m_view.in_force) {
      m_html.Markup(
          "<p class=\"error\">Another document has been published since this "
          "draft was begun.</p>");
      OpenForm();
      CloseFormWithButton("rebase",
                          "Apply these edits to the document in force");
    }
  }

  void WriteErrorList(std::string_view title,
                      const std::vector<Error>& errors,
                      std::string_view css_class) {
    if (errors.empty()) {
      return;
    }
    m_html.Markup("<div role=\"alert\" class=\"")
        .Markup(css_class)
        .Markup("\"><h2>");
    m_html.Value(title).Markup("</h2><ul>");
    for (const Error& error : errors) {
      m_html.Markup("<li><a href=\"#").Value(error.pointer).Markup("\">");
      m_html.Value(error.pointer.empty() ? "document" : error.pointer);
      m_html.Markup("</a>: ");
      WriteErrorText(error);
      m_html.Markup("</li>");
    }
    m_html.Markup("</ul></div>");
  }

  void WriteErrorText(const Error& error) {
    m_html.Value(error.message);
    if (!error.value.empty()) {
      m_html.Markup("; found: ").Value(error.value);
    }
    if (!error.allowed.empty()) {
      m_html.Markup("; allowed: ").Value(error.allowed);
    }
  }

  // Writes a value of the document with its errors. The JSON pointer becomes
  // the element ID, so that the error list can link to it.
  void WriteAnchor(const std::string& pointer, std::string_view value) {
    m_html.Markup("<span id=\"").Value(pointer).Markup("\">");
    m_html.Value(value).Markup("</span>");
    WriteErrorsAt(pointer);
  }

  void WriteErrorsAt(const std::string& pointer) {
    for (const Error& error : m_view.errors) {
      if (error.pointer == pointer) {
        m_html.Markup(" <strong class=\"error\">");
        WriteErrorText(error);
        m_html.Markup("</strong>");
      }
    }
  }

  void OpenForm(std::string_view action = "/console/draft") {
    m_html.Markup("<form method=\"post\" action=\"")
        .Markup(action)
        .Markup("\">")
        .HiddenInput("csrf", m_view.csrf_token)
        .HiddenInput("based_on", std::to_string(m_view.based_on))
        .HiddenInput("journal", m_view.journal);
  }

  void CloseFormWithButton(std::string_view action, std::string_view label) {
    m_html.Markup("<button name=\"action\" value=\"")
        .Value(action)
        .Markup("\">")
        .Value(label)
        .Markup("</button></form>");
  }

  void OpenEditForm(std::string_view kind, std::string_view title = "") {
    OpenForm();
    m_html.HiddenInput("kind", kind);
    if (!title.empty()) {
      m_html.Markup("<b>").Value(title).Markup("</b> ");
    }
  }

  void WriteInput(const Input& input) {
    m_html.Markup("<label>").Value(input.label);
    m_html.Markup(" <input name=\"").Value(input.name);
    m_html.Markup("\" value=\"").Value(input.value).Markup("\" ");
    m_html.Markup(input.attributes).Markup("></label> ");
  }

  void WriteInput(std::initializer_list<Input> inputs) {
    for (const Input& input : inputs) {
      WriteInput(input);
    }
  }

  void WriteZoneSelect() {
    m_html.Markup("<label>zone <select name=\"zone\">");
    for (const ZoneConfig& zone : m_view.draft.zones) {
      m_html.Markup("<option>").Value(zone.name).Markup("</option>");
    }
    m_html.Markup("</select></label> ");
  }

  void WriteZones() {
    m_html.Markup(
        "<h2 id=\"/zones\">Zones</h2><table><tr><th>name</th>"
        "<th>region</th></tr>");
    for (std::size_t i = 0; i < m_view.draft.zones.size(); ++i) {
      const std::string pointer = "/zones/" + std::to_string(i);
      m_html.Markup("<tr><td>");
      WriteAnchor(pointer + "/name", m_view.draft.zones[i].name);
      m_html.Markup("</td><td>");
      WriteAnchor(pointer + "/region", m_view.draft.zones[i].region);
      m_html.Markup("</td></tr>");
    }
    m_html.Markup("</table>");
    OpenEditForm("add_zone");
    WriteInput({{"name", "name"}, {"region", "region"}});
    CloseFormWithButton("edit", "Add zone");
  }

  // Writes a table cell with a limit and the form that changes it.
  void WriteLimitCell(const std::string& pointer,
                      const SetLimitFields& fields,
                      std::int64_t value) {
    m_html.Markup("<td id=\"").Value(pointer).Markup("\">");
    OpenEditForm("set_limit");
    for (const auto& [name, text] : fields) {
      m_html.HiddenInput(name, text);
    }
    const std::string label =
        pointer.substr(pointer.rfind('/') + 1) + ", new value";
    m_html.Markup("<input name=\"value\" inputmode=\"numeric\" size=\"7\" ")
        .Markup("required aria-label=\"")
        .Value(label)
        .Markup("\" value=\"");
    m_html.Markup(std::to_string(value)).Markup("\">");
    CloseFormWithButton("edit", "Set");
    WriteErrorsAt(pointer);
    m_html.Markup("</td>");
  }

  void WriteService(std::size_t index) {
    const ServiceConfig& service = m_view.draft.services[index];
    const std::string pointer = "/services/" + std::to_string(index);
    m_html.Markup("<section><h2 id=\"").Value(pointer).Markup("\">Service ");
    WriteAnchor(pointer + "/name", service.name);
    m_html.Markup("</h2><p>")
        .Markup(service.keyed ? "keyed" : "not keyed")
        .Markup(service.checks_orders ? ", targets check orders"
                                      : ", targets do not check orders")
        .Markup(", default class ");
    WriteAnchor(pointer + "/default_class", service.default_class);
    m_html.Markup(
        "</p><table><tr><th>slots per endpoint</th><th>connections per "
        "endpoint</th><th>keys of a cut-off zone move after, s (0: they "
        "wait)</th></tr><tr>");
    const auto limit_fields = [&service](std::string_view name) {
      return SetLimitFields{{"service", service.name},
                            {"limit", std::string(name)}};
    };
    WriteLimitCell(pointer + "/slots_per_endpoint",
                   limit_fields("slots_per_endpoint"),
                   service.slots_per_endpoint);
    WriteLimitCell(pointer + "/connections_per_endpoint",
                   limit_fields("connections_per_endpoint"),
                   service.connections_per_endpoint);
    WriteLimitCell(pointer + "/on_isolation/after_s",
                   limit_fields("move_after_s"),
                   service.move_after ? service.move_after->count() / 1000 : 0);
    m_html.Markup("</tr></table>");
    WriteClasses(service, pointer + "/classes");
    if (service.keyed) {
      WriteKeyRanges(service, pointer + "/key_ranges");
    }
    m_html.Markup("</section>");
  }

  void WriteClasses(const ServiceConfig& service,
                    const std::string& list_pointer) {
    m_html.Markup("<h3 id=\"").Value(list_pointer).Markup("\">Classes</h3>");
    WriteErrorsAt(list_pointer);
    m_html.Markup(
        "<table><tr><th>name</th><th>default deadline, ms</th><th>reserved "
        "slots, percent</th><th>queue limit</th></tr>");
    for (std::size_t i = 0; i < service.classes.size(); ++i) {
      const ClassConfig& entry = service.classes[i];
      const std::string pointer = list_pointer + "/" + std::to_string(i);
      const auto limit_fields = [&](std::string_view name) {
        return SetLimitFields{{"service", service.name},
                              {"class", entry.name},
                              {"limit", std::string(name)}};
      };
      m_html.Markup("<tr><td>");
      WriteAnchor(pointer + "/name", entry.name);
      m_html.Markup("</td>");
      WriteLimitCell(pointer + "/default_deadline_ms",
                     limit_fields("default_deadline_ms"),
                     entry.default_deadline.count());
      WriteLimitCell(pointer + "/reserved_slots_percent",
                     limit_fields("reserved_slots_percent"),
                     entry.reserved_slots_percent);
      WriteLimitCell(pointer + "/queue_limit", limit_fields("queue_limit"),
                     entry.queue_limit);
      m_html.Markup("</tr>");
    }
    m_html.Markup("</table>");
    OpenEditForm("add_class");
    m_html.HiddenInput("service", service.name);
    WriteInput(Input{"name", "name"});
    WriteClassLimitInputs();
    CloseFormWithButton("edit", "Add class");
  }

  void WriteClassLimitInputs() {
    WriteInput({{"deadline_ms", "default deadline, ms", "1000"},
                {"reserved", "reserved slots, percent", "0"},
                {"queue", "queue limit", "256"}});
  }

  void WriteKeyRanges(const ServiceConfig& service,
                      const std::string& list_pointer) {
    m_html.Markup("<h3 id=\"").Value(list_pointer).Markup("\">Key ranges</h3>");
    WriteErrorsAt(list_pointer);
    m_html.Markup("<table><tr><th>first</th><th>last</th><th>zone</th></tr>");
    for (std::size_t i = 0; i < service.key_ranges.size(); ++i) {
      const KeyRangeConfig& entry = service.key_ranges[i];
      const std::string pointer = list_pointer + "/" + std::to_string(i);
      m_html.Markup("<tr><td>");
      WriteAnchor(pointer + "/first", ToHex(entry.range.first));
      m_html.Markup("</td><td>");
      WriteAnchor(pointer + "/last", ToHex(entry.range.last));
      m_html.Markup("</td><td>");
      WriteAnchor(pointer + "/zone", entry.zone);
      m_html.Markup("</td></tr>");
    }
    m_html.Markup("</table>");
    constexpr std::string_view kHashAttributes =
        "required size=\"16\" maxlength=\"16\" pattern=\"[0-9a-fA-F]{16}\"";
    OpenEditForm("add_key_range");
    m_html.HiddenInput("service", service.name);
    WriteInput({{"first", "first hash", "", kHashAttributes},
                {"last", "last hash", "", kHashAttributes}});
    WriteZoneSelect();
    CloseFormWithButton("edit", "Add key range");
    OpenEditForm("split_key_range");
    m_html.HiddenInput("service", service.name);
    WriteInput(Input{"at", "split at hash", "", kHashAttributes});
    WriteZoneSelect();
    CloseFormWithButton("edit", "Split key range");
  }

  void WriteNewServiceForm() {
    m_html.Markup("<h2 id=\"/services\">New service</h2>");
    OpenEditForm("add_service");
    WriteInput(
        {{"name", "name"},
         {"keyed", "keyed", "yes", "type=\"checkbox\""},
         {"checks", "targets check orders", "yes", "type=\"checkbox\" checked"},
         {"slots", "slots per endpoint", "1"},
         {"connections", "connections per endpoint", "100"},
         {"class", "default class"}});
    WriteClassLimitInputs();
    CloseFormWithButton("edit", "Add service");
  }

  void WriteTenants() {
    m_html.Markup(
        "<h2 id=\"/tenants\">Tenants</h2><table><tr><th>name</th>"
        "<th>weight</th></tr>");
    for (std::size_t i = 0; i < m_view.draft.tenants.size(); ++i) {
      const TenantConfig& tenant = m_view.draft.tenants[i];
      const std::string pointer = "/tenants/" + std::to_string(i);
      m_html.Markup("<tr><td>");
      WriteAnchor(pointer + "/name", tenant.name);
      m_html.Markup("</td>");
      WriteLimitCell(pointer + "/weight",
                     {{"tenant", tenant.name}, {"limit", "weight"}},
                     tenant.weight);
      m_html.Markup("</tr>");
    }
    m_html.Markup("</table>");
    OpenEditForm("set_limit");
    m_html.HiddenInput("limit", "weight");
    WriteInput({{"tenant", "name"}, {"value", "weight", "1"}});
    CloseFormWithButton("edit", "Add tenant");
  }

  void WritePlans() {
    m_html.Markup(
        "<h2 id=\"/plans\">Plans</h2><table><tr><th>target</th>"
        "<th>kind</th><th></th></tr>");
    for (std::size_t i = 0; i < m_view.draft.plans.size(); ++i) {
      const PlanConfig& plan = m_view.draft.plans[i];
      m_html.Markup("<tr><td>");
      WriteAnchor("/plans/" + std::to_string(i) + "/target", plan.target);
      m_html.Markup("</td><td>")
          .Markup(plan.kind == PlanKind::kStop ? "stop" : "drain")
          .Markup("</td><td>");
      OpenEditForm("remove_plan");
      m_html.HiddenInput("target", plan.target);
      CloseFormWithButton("edit", "Remove plan of " + plan.target);
      m_html.Markup("</td></tr>");
    }
    m_html.Markup("</table>");
    OpenEditForm("add_plan");
    WriteInput(Input{"target", "target"});
    m_html.Markup(
        "<label>kind <select name=\"plan\"><option>drain</option>"
        "<option>stop</option></select></label> ");
    CloseFormWithButton("edit", "Add plan");
  }

  void WriteEdits() {
    m_html.Markup("<h2>Edits of this draft</h2>");
    if (m_view.edits.empty()) {
      m_html.Markup("<p>None.</p>");
      return;
    }
    m_html.Markup("<ol>");
    for (const std::string& edit : m_view.edits) {
      m_html.Markup("<li>").Value(edit).Markup("</li>");
    }
    m_html.Markup("</ol>");
    OpenForm();
    CloseFormWithButton("undo", "Undo the last edit");
    m_html.Markup(
        "<h2>Differences from the document in force</h2><table><tr>"
        "<th>place</th><th>in force</th><th>draft</th></tr>");
    for (const JsonDifference& difference : m_view.differences) {
      m_html.Markup("<tr><td>")
          .Value(difference.pointer)
          .Markup("</td><td><del>");
      m_html.Value(difference.before).Markup("</del></td><td><ins>");
      m_html.Value(difference.after).Markup("</ins></td></tr>");
    }
    m_html.Markup("</table>");
  }

  void WritePublicationInputs() {
    WriteInput(
        {{"author", "author", m_view.author, "required maxlength=\"128\""},
         {"reason", "reason", m_view.reason,
          "required maxlength=\"1000\" size=\"50\""}});
  }

  void WritePublishForm() {
    m_html.Markup("<h2>Publish</h2>");
    OpenForm();
    WritePublicationInputs();
    CloseFormWithButton("publish", "Publish this draft");
  }

  void WriteDocument() {
    m_html.Markup("<h2>Whole document</h2><pre>")
        .Value(PrettyJson(ConfigurationToJson(m_view.draft)))
        .Markup("</pre>");
  }

  void WriteHistory() {
    m_html.Markup(
        "<h2>History</h2><table><tr><th>offset</th><th>time</th>"
        "<th>author</th><th>reason</th><th></th></tr>");
    for (auto entry = m_view.history.rbegin(); entry != m_view.history.rend();
         ++entry) {
      m_html.Markup("<tr><td>");
      WriteNumber(entry->offset);
      m_html.Markup("</td><td>").Markup(FormatTime(entry->time_ms));
      m_html.Markup("</td><td>").Value(entry->author);
      m_html.Markup("</td><td>").Value(entry->reason).Markup("</td><td>");
      if (entry->offset == m_view.in_force) {
        m_html.Markup("in force");
      } else {
        OpenForm("/console/undo");
        m_html.HiddenInput("to", std::to_string(entry->offset));
        WritePublicationInputs();
        CloseFormWithButton(
            "undo",
            "Publish offset " + std::to_string(entry->offset) + " again");
      }
      m_html.Markup("</td></tr>");
    }
    m_html.Markup("</table>");
  }

  const ConsoleView& m_view;
  HtmlWriter m_html;
};

}  // namespace

std::string RenderConsolePage(const ConsoleView& view) {
  return PageWriter(view).Render();
}

std::string RenderLoginPage(bool failed) {
  HtmlWriter html;
  html.Markup(
      "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>snipehall console</title>"
      "<link rel=\"stylesheet\" href=\"/console/style.css\"></head><body>"
      "<h1>snipehall console</h1>");
  if (failed) {
    html.Markup("<p role=\"alert\" class=\"error\">The token is wrong.</p>");
  }
  html.Markup(
      "<form method=\"post\" action=\"/console/login\"><label>administration "
      "token <input type=\"password\" name=\"token\" required autofocus>"
      "</label> <button>Log in</button></form></body></html>\n");
  return std::move(html.text());
}

std::string_view ConsoleStyle() {
  return "body{font-family:sans-serif;max-width:80em;margin:1em auto;"
         "padding:0 1em}\n"
         "table{border-collapse:collapse}\n"
         "td,th{border:1px solid #999;padding:.2em .5em;text-align:left}\n"
         "form{margin:.4em 0}\n"
         "section{border-left:.3em solid #69c;padding-left:1em}\n"
         ".error{color:#a00}\n"
         ".refusal{color:#a00}\n"
         ".notice{color:#060}\n"
         ":focus{outline:.2em solid #06c}\n"
         "pre{background:#eee;padding:1em;overflow:auto}\n";
}

}  // namespace snipehall
