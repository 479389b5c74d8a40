#include "transport/admin/console.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>

#include "protocol/configuration_codec.h"

namespace snipehall {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

AdminResponse MakePage(http::status status, std::string html) {
  AdminResponse response =
      MakeResponse(status, "text/html; charset=utf-8", std::move(html));
  response.set("Content-Security-Policy",
               "default-src 'none'; style-src 'self'; form-action 'self'; "
               "base-uri 'none'; frame-ancestors 'none'");
  response.set("Referrer-Policy", "no-referrer");
  return response;
}

AdminResponse MakeRedirect(const std::string& location) {
  AdminResponse response =
      MakeResponse(http::status::see_other, "text/plain", "");
  response.set(http::field::location, location);
  return response;
}

LogOffset ReadOffset(std::string_view text) {
  LogOffset offset = 0;
  std::from_chars(text.data(), text.data() + text.size(), offset);
  return offset;
}

const ConfigurationEntry* FindEntry(const ClusterState& state,
                                    LogOffset offset) {
  for (const ConfigurationEntry& entry : state.history()) {
    if (entry.offset == offset) {
      return &entry;
    }
  }
  return nullptr;
}

http::status StatusForError(const Error& error) {
  return error.code == ErrorCode::kConflict
             ? http::status::conflict
             : http::status::unprocessable_entity;
}

AdminResponse MakeFormErrorResponse(std::string message, std::string allowed) {
  return MakeErrorResponse(
      {ErrorCode::kRefused, std::move(message), "", "", std::move(allowed)});
}

}  // namespace

Console::Console(const AdminBackend* backend,
                 const ConfigurationPublisher* publisher,
                 AdminAccess* access)
    : m_backend(backend), m_publisher(publisher), m_access(access) {}

asio::awaitable<AdminResponse> Console::Handle(AdminRequest request) {
  const std::string path(RequestPath(request));
  const bool is_post = request.method() == http::verb::post;
  if (!m_access->IsHostAllowed(request)) {
    co_return MakeFormErrorResponse("host is not allowed without a token",
                                    "an IP number or localhost");
  }
  if (path == "/console/style.css") {
    co_return MakeResponse(http::status::ok, "text/css",
                           std::string(ConsoleStyle()));
  }
  if (path == "/console/login" && is_post) {
    co_return LogIn(request);
  }
  const Session* session =
      m_access->FindSession(request, MonotonicTime::clock::now());
  if (session == nullptr) {
    co_return MakePage(http::status::unauthorized, RenderLoginPage(false));
  }
  if (request.method() == http::verb::get) {
    co_return HandleGet(request, *session);
  }
  if (!is_post || (path != "/console/draft" && path != "/console/undo")) {
    co_return MakeErrorResponse(
        {ErrorCode::kNotFound, "no such page", "", path, ""});
  }
  if (!HasContentType(request, "application/x-www-form-urlencoded")) {
    co_return MakeFormErrorResponse("wrong content type",
                                    "application/x-www-form-urlencoded");
  }
  auto form = ParseParameters(request.body());
  if (!form) {
    co_return MakeErrorResponse(form.error());
  }
  if (!EqualInConstantTime(GetParameter(form.value(), "csrf"),
                           session->csrf_token)) {
    co_return MakeFormErrorResponse("missing or wrong CSRF token",
                                    "a form that this session's page contains");
  }
  // The session may be removed while the coroutine is suspended.
  const std::string csrf_token = session->csrf_token;
  if (path == "/console/undo") {
    co_return co_await HandleUndo(std::move(form).value(), csrf_token);
  }
  co_return co_await HandleDraft(std::move(form).value(), csrf_token);
}

AdminResponse Console::LogIn(const AdminRequest& request) {
  const auto form = ParseParameters(request.body());
  if (!form) {
    return MakeErrorResponse(form.error());
  }
  const Session* session = m_access->LogIn(GetParameter(form.value(), "token"),
                                           MonotonicTime::clock::now());
  if (session == nullptr) {
    return MakePage(http::status::unauthorized, RenderLoginPage(true));
  }
  AdminResponse response = MakeRedirect("/console");
  response.set(http::field::set_cookie,
               "snipehall_session=" + session->id +
                   "; HttpOnly; SameSite=Strict; Path=/console");
  return response;
}

AdminResponse Console::HandleGet(const AdminRequest& request,
                                 const Session& session) {
  const std::string_view path = RequestPath(request);
  if (path == "/") {
    return MakeRedirect("/console");
  }
  const auto query = ParseQuery(request);
  if (path != "/console" || !query) {
    return MakeErrorResponse(
        {ErrorCode::kNotFound, "no such page", "", std::string(path), ""});
  }
  ConsoleView view = MakeView({}, session.csrf_token);
  const LogOffset published =
      ReadOffset(GetParameter(query.value(), "published"));
  if (published != 0) {
    view.notice = "Accepted at offset " + std::to_string(published) + ".";
  }
  ChangeJournal journal;
  const Result<void> replayed = ReplayDraft(journal, view);
  if (!replayed) {
    return MakeErrorResponse(replayed.error());
  }
  return MakePage(http::status::ok, RenderConsolePage(view));
}

ConsoleView Console::MakeView(const Parameters& form,
                              const std::string& csrf_token) const {
  const auto status = m_backend->status();
  const ConfigurationEntry* entry = status->state.configuration();
  ConsoleView view;
  view.csrf_token = csrf_token;
  view.in_force = entry == nullptr ? 0 : entry->offset;
  view.based_on = form.find("based_on") == form.end()
                      ? view.in_force
                      : ReadOffset(GetParameter(form, "based_on"));
  view.author = GetParameter(form, "author");
  view.reason = GetParameter(form, "reason");
  const auto history = status->state.history();
  view.history.assign(history.begin(), history.end());
  return view;
}

Result<void> Console::ReplayDraft(ChangeJournal& journal,
                                  ConsoleView& view,
                                  bool undo_last) const {
  const auto status = m_backend->status();
  const ConfigurationEntry* base = FindEntry(status->state, view.based_on);
  if (base == nullptr && view.based_on != 0) {
    return Error{ErrorCode::kNotFound,
                 "the document that the draft is edited from is not in the "
                 "history of this instance",
                 "/based_on", std::to_string(view.based_on),
                 "an offset of the history"};
  }
  auto draft =
      journal.Replay(base == nullptr ? Configuration() : base->configuration);
  if (!draft) {
    return draft.error();
  }
  if (undo_last && journal.size() > 0) {
    draft.value().UndoLast();
    journal.RemoveLast();
  }
  view.draft = draft.value().configuration();
  view.edits.clear();
  for (const auto& change : draft.value().changes()) {
    view.edits.push_back(change->Describe());
  }
  view.journal = journal.ToText();
  const boost::json::value document = ConfigurationToJson(view.draft);
  Configuration ignored;
  view.errors = m_publisher->Check(document, ignored);
  const ConfigurationEntry* in_force = status->state.configuration();
  view.differences = FindDifferences(
      ConfigurationToJson(in_force == nullptr ? Configuration()
                                              : in_force->configuration),
      document);
  return boost::outcome_v2::success();
}

Result<ChangeJournal> Console::ApplyAction(const Parameters& form,
                                           ConsoleView& view) const {
  auto parsed = ChangeJournal::Parse(GetParameter(form, "journal"));
  if (!parsed) {
    return parsed.error();
  }
  ChangeJournal journal = std::move(parsed).value();
  Result<void> replayed = ReplayDraft(journal, view);
  if (!replayed) {
    return replayed.error();
  }
  const std::string_view action = GetParameter(form, "action");
  ChangeJournal edited = journal;
  ConsoleView edited_view = view;
  if (action == "edit") {
    edited.Add(form);
  } else if (action == "rebase") {
    edited_view.based_on = view.in_force;
  }
  replayed = ReplayDraft(edited, edited_view, action == "undo");
  if (!replayed) {
    // Keep the previous draft and show the error on the page.
    view.action_errors.push_back(replayed.error());
    return journal;
  }
  view = std::move(edited_view);
  return edited;
}

asio::awaitable<AdminResponse> Console::HandleDraft(Parameters form,
                                                    std::string csrf_token) {
  ConsoleView view = MakeView(form, csrf_token);
  const auto journal = ApplyAction(form, view);
  if (!journal) {
    co_return MakeErrorResponse(journal.error());
  }
  if (GetParameter(form, "action") == "publish") {
    if (!view.errors.empty()) {
      co_return MakePage(http::status::unprocessable_entity,
                         RenderConsolePage(view));
    }
    // A named variable works around a g++ 12 bug that destroys a braced
    // argument of a co_await expression twice.
    Publication publication{view.based_on, view.author, view.reason};
    const auto published =
        co_await m_publisher->Publish(std::move(publication), view.draft);
    if (published) {
      co_return MakeRedirect("/console?published=" +
                             std::to_string(published.value()));
    }
    const LogOffset based_on = view.based_on;
    view.in_force = MakeView(form, csrf_token).in_force;
    view.based_on = based_on;
    view.action_errors.push_back(published.error());
  }
  const http::status status = view.action_errors.empty()
                                  ? http::status::ok
                                  : StatusForError(view.action_errors.front());
  co_return MakePage(status, RenderConsolePage(view));
}

asio::awaitable<AdminResponse> Console::HandleUndo(Parameters form,
                                                   std::string csrf_token) {
  ConsoleView view = MakeView(form, csrf_token);
  const LogOffset restored_offset = ReadOffset(GetParameter(form, "to"));
  Publication publication{view.based_on, view.author, view.reason};
  const auto published =
      co_await m_publisher->Undo(std::move(publication), restored_offset);
  if (published) {
    co_return MakeRedirect("/console?published=" +
                           std::to_string(published.value()));
  }
  auto journal = ChangeJournal::Parse(GetParameter(form, "journal"));
  if (!journal) {
    co_return MakeErrorResponse(journal.error());
  }
  const Result<void> replayed = ReplayDraft(journal.value(), view);
  if (!replayed) {
    co_return MakeErrorResponse(replayed.error());
  }
  view.action_errors.push_back(published.error());
  co_return MakePage(StatusForError(published.error()),
                     RenderConsolePage(view));
}

}  // namespace snipehall
