#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <string>
#include <vector>

#include "transport/admin/admin_backend.h"

namespace snipehall {

// Metadata of the publication of a configuration.
struct Publication {
  // Log offset of the published configuration that the new one was edited from;
  // zero if none was published before. Used to detect conflicting publications.
  LogOffset based_on = 0;
  // 1 to 128 bytes.
  std::string author;
  // 1 to 1000 bytes.
  std::string reason;
};

// Validates configurations and publishes them, for the API and the console. A
// configuration is published by appending it to the log as a record. It is in
// force once the instances have read the record back and accepted it, until the
// next one is accepted. All functions must be called on the administration
// thread.
class ConfigurationPublisher {
 public:
  // Time within which a record must have been appended, read back and accepted.
  // Publish() returns at most one second later.
  static constexpr Milliseconds kSubmitTimeout{5000};

  // `backend` must outlive the publisher and its operations. `context` is the
  // event loop of the administration thread, on which they run.
  ConfigurationPublisher(const AdminBackend* backend,
                         std::weak_ptr<boost::asio::io_context> context);

  // Parses a JSON document into `configuration` and validates its schema and
  // its semantics, and then its plans with CheckPlans(). Returns all errors of
  // the step that failed; empty when the document is valid. On errors do not
  // use `configuration`, which may be incomplete.
  std::vector<Error> Check(const boost::json::value& document,
                           Configuration& configuration) const;

  // Checks that the plans of `configuration` that are not yet in the one in
  // force name targets of the instance list. Checks nothing and returns no
  // errors while that list is empty, because it has not been read yet.
  std::vector<Error> CheckPlans(const Configuration& configuration) const;

  // Publishes a configuration and returns the log offset of its record after it
  // was accepted. Does not call CheckPlans(). Fails
  // - with kConflict when another configuration was published since `based_on`,
  //   so that this one was not; Error::value is `based_on`, Error::allowed the
  //   log offset of the configuration in force;
  // - with kInvalidArgument, kBusy or kUnavailable when it was not published;
  // - with kTimeout when the outcome is unknown: it may still be published.
  boost::asio::awaitable<Result<LogOffset>> Publish(
      Publication publication,
      Configuration configuration) const;

  // Publishes again the configuration that was published at the log offset
  // `restored_offset`; zero selects the predecessor of the one in force. Fails
  // with kNotFound when the history of this instance does not have it, and with
  // the errors of Publish().
  boost::asio::awaitable<Result<LogOffset>> Undo(
      Publication publication,
      LogOffset restored_offset) const;

  // Adds a plan to the configuration in force, validates and publishes the
  // result; `publication.based_on` is ignored. Fails with kNotFound when no
  // configuration is in force, with kInvalidArgument when the result is
  // invalid, and with the errors of Publish().
  boost::asio::awaitable<Result<LogOffset>> AddPlan(Publication publication,
                                                    PlanConfig plan) const;

 private:
  const AdminBackend* m_backend;
  std::weak_ptr<boost::asio::io_context> m_context;
};

}  // namespace snipehall
