#include "transport/admin/change_form.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>
#include <optional>

#include "coordination/changes/add_class.h"
#include "coordination/changes/add_key_range.h"
#include "coordination/changes/add_plan.h"
#include "coordination/changes/add_service.h"
#include "coordination/changes/add_zone.h"
#include "coordination/changes/refuse.h"
#include "coordination/changes/remove_plan.h"
#include "coordination/changes/set_limit.h"
#include "coordination/changes/split_key_range.h"

namespace snipehall {

namespace {

using ChangePointer = std::unique_ptr<ConfigurationChange>;

constexpr std::string_view kNames[] = {
    "kind",    "name",        "region", "keyed",       "checks",   "slots",
    "service", "connections", "class",  "deadline_ms", "reserved", "queue",
    "first",   "last",        "zone",   "at",          "target",   "plan",
    "tenant",  "limit",       "value"};

// Reads the fields of one form; the first fault is kept.
class FormReader {
 public:
  explicit FormReader(const Parameters& parameters)
      : m_parameters(parameters) {}

  std::string Text(std::string_view name) const {
    return std::string(Get(m_parameters, name));
  }

  bool Flag(std::string_view name) const {
    return !Get(m_parameters, name).empty();
  }

  int Number(std::string_view name) {
    int value = 0;
    const std::string_view text = Get(m_parameters, name);
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
      Note(name, text, "an integer");
    }
    return value;
  }

  std::uint64_t Hash(std::string_view name) {
    const std::string_view text = Get(m_parameters, name);
    const Result<std::uint64_t> hash = ParseHex(text);
    if (!hash) {
      Note(name, text, "16 hexadecimal digits");
      return 0;
    }
    return hash.value();
  }

  const std::optional<Error>& error() const { return m_error; }

 private:
  void Note(std::string_view name, std::string_view value, const char* wanted) {
    if (!m_error) {
      m_error = Error{ErrorCode::kInvalidArgument, "malformed value",
                      "/" + std::string(name), std::string(value), wanted};
    }
  }

  const Parameters& m_parameters;
  std::optional<Error> m_error;
};

ChangePointer MakeAddZone(FormReader& form) {
  return std::make_unique<AddZone>(
      ZoneConfig{form.Text("name"), form.Text("region")});
}

ClassConfig ReadClass(FormReader& form, std::string name) {
  return {std::move(name), Milliseconds(form.Number("deadline_ms")),
          form.Number("reserved"), form.Number("queue")};
}

ChangePointer MakeAddService(FormReader& form) {
  ServiceConfig service;
  service.name = form.Text("name");
  service.keyed = form.Flag("keyed");
  service.checks_orders = form.Flag("checks");
  service.slots_per_endpoint = form.Number("slots");
  service.connections_per_endpoint = form.Number("connections");
  service.default_class = form.Text("class");
  service.classes = {ReadClass(form, service.default_class)};
  return std::make_unique<AddService>(std::move(service));
}

ChangePointer MakeAddClass(FormReader& form) {
  return std::make_unique<AddClass>(form.Text("service"),
                                    ReadClass(form, form.Text("name")));
}

ChangePointer MakeAddKeyRange(FormReader& form) {
  const HashRange range{form.Hash("first"), form.Hash("last")};
  return std::make_unique<AddKeyRange>(
      form.Text("service"), KeyRangeConfig{range, form.Text("zone")});
}

ChangePointer MakeSplitKeyRange(FormReader& form) {
  return std::make_unique<SplitKeyRange>(form.Text("service"), form.Hash("at"),
                                         form.Text("zone"));
}

ChangePointer MakeAddPlan(FormReader& form) {
  const bool stops = form.Text("plan") == "stop";
  return std::make_unique<AddPlan>(PlanConfig{
      stops ? PlanKind::kStop : PlanKind::kDrain, form.Text("target")});
}

ChangePointer MakeRemovePlan(FormReader& form) {
  return std::make_unique<RemovePlan>(form.Text("target"));
}

ChangePointer MakeSetLimit(FormReader& form) {
  return std::make_unique<SetLimit>(
      SetLimit::Place{form.Text("service"), form.Text("class"),
                      form.Text("tenant")},
      form.Text("limit"), form.Number("value"));
}

constexpr std::pair<std::string_view, ChangePointer (*)(FormReader&)> kKinds[] =
    {{"add_zone", MakeAddZone},
     {"add_service", MakeAddService},
     {"add_class", MakeAddClass},
     {"add_key_range", MakeAddKeyRange},
     {"split_key_range", MakeSplitKeyRange},
     {"add_plan", MakeAddPlan},
     {"remove_plan", MakeRemovePlan},
     {"set_limit", MakeSetLimit}};

std::string Escape(std::string_view text) {
  return boost::urls::encode(boost::core::string_view(text.data(), text.size()),
                             boost::urls::unreserved_chars);
}

}  // namespace

Result<ChangePointer> ParseChange(const Parameters& parameters) {
  FormReader form(parameters);
  const std::string wanted = form.Text("kind");
  for (const auto& [kind, make] : kKinds) {
    if (kind == wanted) {
      ChangePointer change = make(form);
      if (form.error()) {
        return *form.error();
      }
      return change;
    }
  }
  return RefuseChange("unknown kind of change", "/kind", wanted,
                      "a kind that the console offers");
}

Result<ChangeJournal> ChangeJournal::Parse(std::string_view text) {
  if (text.size() > kLimit) {
    return RefuseChange("too many edits in one draft", "/journal",
                        std::to_string(text.size()) + " bytes",
                        "at most " + std::to_string(kLimit) +
                            " bytes; publish the draft first");
  }
  ChangeJournal journal;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    // Browsers send the line ends of forms as CR LF.
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!line.empty()) {
      auto edit = ParseParameters(line);
      if (!edit) {
        return edit.error();
      }
      journal.m_edits.push_back(std::move(edit).value());
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return journal;
}

void ChangeJournal::Add(const Parameters& parameters) {
  Parameters edit;
  for (const std::string_view name : kNames) {
    const auto found = parameters.find(name);
    if (found != parameters.end()) {
      edit.insert(*found);
    }
  }
  m_edits.push_back(std::move(edit));
}

Result<Draft> ChangeJournal::Replay(Configuration base) const {
  Draft draft(std::move(base));
  for (const Parameters& edit : m_edits) {
    auto change = ParseChange(edit);
    if (!change) {
      return change.error();
    }
    const Result<void> applied = draft.Do(std::move(change).value());
    if (!applied) {
      return applied.error();
    }
  }
  return draft;
}

std::string ChangeJournal::ToText() const {
  std::string text;
  for (const Parameters& edit : m_edits) {
    std::string_view separator;
    for (const auto& [name, value] : edit) {
      text.append(separator).append(name).append("=").append(Escape(value));
      separator = "&";
    }
    text += '\n';
  }
  return text;
}

}  // namespace snipehall
