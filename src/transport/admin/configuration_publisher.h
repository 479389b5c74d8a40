#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <string>
#include <vector>

#include "transport/admin/admin_backend.h"

namespace snipehall {

// Metadata of a publication. `based_on` is the log offset of the configuration
// that the document was edited from, used to detect conflicting publications.
struct Publication {
  LogOffset based_on = 0;
  std::string author;
  std::string reason;
};

// Validates configuration documents and publishes them through the log, for the
// API and the console. Runs on the administration thread.
class ConfigurationPublisher {
 public:
  // Deadline for the log to accept a record.
  static constexpr Milliseconds kSubmitTimeout{5000};

  // `backend` must outlive the publisher and its operations, which run on
  // `context`.
  ConfigurationPublisher(const AdminBackend* backend,
                         std::weak_ptr<boost::asio::io_context> context);

  // Parses `document` into `configuration` and validates its schema, its
  // semantics and its new plans. Returns all errors; empty when it is valid.
  std::vector<Error> Check(const boost::json::value& document,
                           Configuration& configuration) const;

  // Validates plans that the configuration in force does not contain against
  // the instance list. Returns no errors while the list is empty.
  std::vector<Error> CheckPlans(const Configuration& configuration) const;

  // Publishes a document and returns the offset of the accepted record. Fails
  // with kConflict when another document was published since `based_on`
  // (`value` is `based_on`, `allowed` the offset in force), with
  // kInvalidArgument, kBusy or kUnavailable when it was not published, and with
  // kTimeout when the outcome is unknown and it may still be accepted.
  boost::asio::awaitable<Result<LogOffset>> Publish(
      Publication publication,
      Configuration configuration) const;

  // Publishes the document at `restored_offset` of the history again; zero
  // selects the predecessor of the one in force. Fails with kNotFound when the
  // history has no such document, and like Publish().
  boost::asio::awaitable<Result<LogOffset>> Undo(
      Publication publication,
      LogOffset restored_offset) const;

  // Adds a plan to the configuration in force and publishes the result. Fails
  // with kNotFound when there is no configuration, and like Publish().
  boost::asio::awaitable<Result<LogOffset>> AddPlan(Publication publication,
                                                    PlanConfig plan) const;

 private:
  const AdminBackend* m_backend;
  std::weak_ptr<boost::asio::io_context> m_context;
};

}  // namespace snipehall
