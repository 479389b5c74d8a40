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
#include "coordination/changes/change_error.h"
#include "coordination/changes/remove_plan.h"
#include "coordination/changes/set_limit.h"
#include "coordination/changes/split_key_range.h"

namespace snipehall {

namespace {

using ChangePtr = std::unique_ptr<ConfigurationChange>;

// Parameters that an edit may have; ChangeJournal::Add() drops all others.
constexpr std::string_view kEditParameters[] = {
    "kind",    "name",        "region", "keyed",       "checks",   "slots",
    "service", "connections", "class",  "deadline_ms", "reserved", "queue",
    "first",   "last",        "zone",   "at",          "target",   "plan",
    "tenant",  "limit",       "value"};

// Reads the fields of a form and keeps the first error.
class FormReader {
 public:
  explicit FormReader(const Parameters& parameters)
      : m_parameters(parameters) {}

  std::string ReadText(std::string_view name) const {
    return std::string(GetParameter(m_parameters, name));
  }

  bool ReadFlag(std::string_view name) const {
    return !GetParameter(m_parameters, name).empty();
  }

  int ReadInteger(std::string_view name) {
    int value = 0;
    const std::string_view text = GetParameter(m_parameters, name);
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
      RecordError(name, text, "an integer");
    }
    return value;
  }

  std::uint64_t ReadHash(std::string_view name) {
    const std::string_view text = GetParameter(m_parameters, name);
    const Result<std::uint64_t> hash = ParseHex(text);
    if (!hash) {
      RecordError(name, text, "16 hexadecimal digits");
      return 0;
    }
    return hash.value();
  }

  const std::optional<Error>& error() const { return m_error; }

 private:
  void RecordError(std::string_view name,
                   std::string_view value,
                   const char* allowed) {
    if (!m_error) {
      m_error = Error{ErrorCode::kInvalidArgument, "malformed value",
                      "/" + std::string(name), std::string(value), allowed};
    }
  }

  const Parameters& m_parameters;
  std::optional<Error> m_error;
};

ChangePtr MakeAddZone(FormReader& form) {
  return std::make_unique<AddZone>(
      ZoneConfig{form.ReadText("name"), form.ReadText("region")});
}

ClassConfig ReadClass(FormReader& form, std::string name) {
  return {std::move(name), Milliseconds(form.ReadInteger("deadline_ms")),
          form.ReadInteger("reserved"), form.ReadInteger("queue")};
}

ChangePtr MakeAddService(FormReader& form) {
  ServiceConfig service;
  service.name = form.ReadText("name");
  service.keyed = form.ReadFlag("keyed");
  service.checks_orders = form.ReadFlag("checks");
  service.slots_per_endpoint = form.ReadInteger("slots");
  service.connections_per_endpoint = form.ReadInteger("connections");
  service.default_class = form.ReadText("class");
  service.classes = {ReadClass(form, service.default_class)};
  return std::make_unique<AddService>(std::move(service));
}

ChangePtr MakeAddClass(FormReader& form) {
  return std::make_unique<AddClass>(form.ReadText("service"),
                                    ReadClass(form, form.ReadText("name")));
}

ChangePtr MakeAddKeyRange(FormReader& form) {
  const HashRange range{form.ReadHash("first"), form.ReadHash("last")};
  return std::make_unique<AddKeyRange>(
      form.ReadText("service"), KeyRangeConfig{range, form.ReadText("zone")});
}

ChangePtr MakeSplitKeyRange(FormReader& form) {
  return std::make_unique<SplitKeyRange>(
      form.ReadText("service"), form.ReadHash("at"), form.ReadText("zone"));
}

ChangePtr MakeAddPlan(FormReader& form) {
  const bool is_stop = form.ReadText("plan") == "stop";
  return std::make_unique<AddPlan>(PlanConfig{
      is_stop ? PlanKind::kStop : PlanKind::kDrain, form.ReadText("target")});
}

ChangePtr MakeRemovePlan(FormReader& form) {
  return std::make_unique<RemovePlan>(form.ReadText("target"));
}

ChangePtr MakeSetLimit(FormReader& form) {
  return std::make_unique<SetLimit>(
      SetLimit::Scope{form.ReadText("service"), form.ReadText("class"),
                      form.ReadText("tenant")},
      form.ReadText("limit"), form.ReadInteger("value"));
}

constexpr std::pair<std::string_view, ChangePtr (*)(FormReader&)>
    kChangeFactories[] = {{"add_zone", MakeAddZone},
                          {"add_service", MakeAddService},
                          {"add_class", MakeAddClass},
                          {"add_key_range", MakeAddKeyRange},
                          {"split_key_range", MakeSplitKeyRange},
                          {"add_plan", MakeAddPlan},
                          {"remove_plan", MakeRemovePlan},
                          {"set_limit", MakeSetLimit}};

std::string PercentEncode(std::string_view text) {
  return boost::urls::encode(boost::core::string_view(text.data(), text.size()),
                             boost::urls::unreserved_chars);
}

}  // namespace

Result<ChangePtr> ParseChange(const Parameters& parameters) {
  FormReader form(parameters);
  const std::string requested_kind = form.ReadText("kind");
  for (const auto& [kind, make_change] : kChangeFactories) {
    if (kind == requested_kind) {
      ChangePtr change = make_change(form);
      if (form.error()) {
        return *form.error();
      }
      return change;
    }
  }
  return ChangeError("unknown kind of change", "/kind", requested_kind,
                     "a kind that the console offers");
}

Result<ChangeJournal> ChangeJournal::Parse(std::string_view text) {
  if (text.size() > kMaxTextBytes) {
    return ChangeError("too many edits in one draft", "/journal",
                       std::to_string(text.size()) + " bytes",
                       "at most " + std::to_string(kMaxTextBytes) +
                           " bytes; publish the draft first");
  }
  ChangeJournal journal;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    // Browsers submit line breaks in form fields as CR LF.
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
  for (const std::string_view name : kEditParameters) {
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
    const Result<void> applied = draft.Apply(std::move(change).value());
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
      text.append(separator).append(name).append("=").append(
          PercentEncode(value));
      separator = "&";
    }
    text += '\n';
  }
  return text;
}

}  // namespace snipehall
