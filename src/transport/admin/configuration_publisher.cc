#include "transport/admin/configuration_publisher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>

#include "coordination/changes/add_plan.h"
#include "protocol/configuration_codec.h"
#include "transport/admin/admin_access.h"

namespace snipehall {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxAuthorBytes = 128;
constexpr std::size_t kMaxReasonBytes = 1000;
// Time to wait for the outcome of a submission after its deadline.
constexpr Milliseconds kOutcomeGracePeriod{1000};

// The outcome of a submission, set by the thread that reports it.
struct PendingOutcome {
  std::mutex mutex;
  std::optional<Result<SubmitOutcome>> outcome;
};

std::int64_t UnixTimeMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Error MakeConflictError(LogOffset based_on, LogOffset current) {
  return {ErrorCode::kConflict,
          "the document was edited from offset " + std::to_string(based_on) +
              ", but the one at offset " + std::to_string(current) +
              " is in force",
          "/based_on", std::to_string(based_on), std::to_string(current)};
}

std::optional<Error> CheckLength(std::string_view text,
                                 std::string pointer,
                                 std::size_t min_bytes,
                                 std::size_t max_bytes) {
  if (text.size() >= min_bytes && text.size() <= max_bytes) {
    return std::nullopt;
  }
  return Error{ErrorCode::kInvalidArgument, "text is empty or too long",
               std::move(pointer), std::string(text.substr(0, 80)),
               std::to_string(min_bytes) + " to " + std::to_string(max_bytes) +
                   " bytes"};
}

std::optional<Error> CheckPublication(const Publication& publication) {
  if (auto error =
          CheckLength(publication.author, "/author", 1, kMaxAuthorBytes)) {
    return error;
  }
  return CheckLength(publication.reason, "/reason", 1, kMaxReasonBytes);
}

LogOffset OffsetInForce(const ControlStatus& status) {
  const ConfigurationEntry* entry = status.state.configuration();
  return entry == nullptr ? 0 : entry->offset;
}

Result<LogOffset> ToPublishResult(const Result<SubmitOutcome>& result,
                                  LogOffset based_on) {
  if (!result) {
    return result.error();
  }
  const SubmitOutcome& outcome = result.value();
  switch (outcome.outcome) {
    case ApplyOutcome::kAccepted:
      return outcome.offset;
    case ApplyOutcome::kStale:
      return MakeConflictError(based_on, outcome.current_version);
    case ApplyOutcome::kInvalid:
    case ApplyOutcome::kSkipped:
      break;
  }
  return Error{ErrorCode::kInvalidArgument,
               "the log's readers refused the document at offset " +
                   std::to_string(outcome.offset)};
}

}  // namespace

ConfigurationPublisher::ConfigurationPublisher(
    const AdminBackend* backend,
    std::weak_ptr<asio::io_context> context)
    : m_backend(backend), m_context(std::move(context)) {}

std::vector<Error> ConfigurationPublisher::Check(
    const boost::json::value& document,
    Configuration& configuration) const {
  std::vector<Error> errors = ConfigurationFromJson(document, configuration);
  return errors.empty() ? CheckPlans(configuration) : errors;
}

std::vector<Error> ConfigurationPublisher::CheckPlans(
    const Configuration& configuration) const {
  const auto status = m_backend->status();
  if (status->instances.empty()) {
    return {};  // The instance list has not been read yet.
  }
  std::vector<TargetId> targets;
  for (const PlatformInstance& instance : status->instances) {
    if (instance.role == PlatformRole::kTarget) {
      targets.push_back(instance.id);
    }
  }
  const ConfigurationEntry* entry = status->state.configuration();
  return ValidateNewPlans(configuration,
                          entry == nullptr ? nullptr : &entry->configuration,
                          targets);
}

asio::awaitable<Result<LogOffset>> ConfigurationPublisher::Publish(
    Publication publication,
    Configuration configuration) const {
  if (auto error = CheckPublication(publication)) {
    co_return *error;
  }
  const LogOffset current = OffsetInForce(*m_backend->status());
  // A greater `based_on` is valid: this instance may be behind the one that the
  // author read the document from.
  if (publication.based_on < current) {
    co_return MakeConflictError(publication.based_on, current);
  }
  Record record{GenerateRandomId(), publication.author, publication.based_on,
                ConfigurationRecord{std::move(configuration),
                                    publication.reason, UnixTimeMs()}};
  const MonotonicTime deadline = MonotonicTime::clock::now() + kSubmitTimeout;
  auto pending = std::make_shared<PendingOutcome>();
  auto timer = std::make_shared<asio::steady_timer>(
      co_await asio::this_coro::executor, deadline + kOutcomeGracePeriod);
  m_backend->submit(
      std::move(record), deadline,
      [pending, context = m_context,
       weak_timer = std::weak_ptr(timer)](Result<SubmitOutcome> result) {
        {
          const std::lock_guard lock(pending->mutex);
          pending->outcome = std::move(result);
        }
        // The listener may have been destroyed by now.
        if (const auto live_context = context.lock()) {
          asio::post(*live_context, [weak_timer] {
            if (const auto live_timer = weak_timer.lock()) {
              live_timer->cancel();
            }
          });
        }
      });
  boost::system::error_code ignored;
  co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  const std::lock_guard lock(pending->mutex);
  if (!pending->outcome) {
    co_return Error{ErrorCode::kTimeout,
                    "no outcome in time: the document may still be accepted"};
  }
  co_return ToPublishResult(*pending->outcome, publication.based_on);
}

asio::awaitable<Result<LogOffset>> ConfigurationPublisher::Undo(
    Publication publication,
    LogOffset restored_offset) const {
  const auto status = m_backend->status();
  const auto history = status->state.history();
  const ConfigurationEntry* found = nullptr;
  if (restored_offset == 0 && history.size() >= 2) {
    found = &history[history.size() - 2];
  }
  for (const ConfigurationEntry& entry : history) {
    if (restored_offset != 0 && entry.offset == restored_offset) {
      found = &entry;
    }
  }
  if (found == nullptr) {
    co_return Error{ErrorCode::kNotFound, "no such document in the history",
                    "/to", std::to_string(restored_offset),
                    "the offset of an earlier document"};
  }
  co_return co_await Publish(std::move(publication), found->configuration);
}

asio::awaitable<Result<LogOffset>> ConfigurationPublisher::AddPlan(
    Publication publication,
    PlanConfig plan) const {
  const auto status = m_backend->status();
  const ConfigurationEntry* entry = status->state.configuration();
  if (entry == nullptr) {
    co_return Error{ErrorCode::kNotFound, "no configuration is in force"};
  }
  Configuration draft = entry->configuration;
  const std::string target = plan.target;
  const Result<void> added = snipehall::AddPlan(std::move(plan)).Apply(draft);
  if (!added) {
    co_return added.error();
  }
  std::vector<Error> errors = ValidateConfiguration(draft);
  if (errors.empty()) {
    errors = CheckPlans(draft);
  }
  if (!errors.empty()) {
    errors.front().pointer = "/target";
    co_return errors.front();
  }
  publication.based_on = entry->offset;
  co_return co_await Publish(std::move(publication), std::move(draft));
}

}  // namespace snipehall
