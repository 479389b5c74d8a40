#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <string>
#include <vector>

#include "transport/admin/admin_backend.h"

namespace snipehall {

// Who publishes and why, and the offset of the configuration that the document
// was edited from.
struct Publication {
  LogOffset based_on = 0;
  std::string author;
  std::string reason;
};

// Checks documents and publishes them through the log, for the API and the
// console. Runs on the admin thread.
class ConfigurationPublisher {
 public:
  static constexpr Milliseconds kSubmitLimit{5000};

  // `backend` outlives the publisher and its operations, which run on `loop`.
  ConfigurationPublisher(const AdminBackend* backend,
                         std::weak_ptr<boost::asio::io_context> loop);

  // Checks schema, meaning and new plans, and returns every error.
  std::vector<Error> Check(const boost::json::value& document,
                           Configuration& configuration) const;

  // Checks plans that are not in force against the instance list.
  std::vector<Error> CheckPlans(const Configuration& configuration) const;

  // Returns the offset of the accepted record. Fails with kConflict when
  // another document was published since `based_on` (`value` is `based_on`,
  // `allowed` the offset in force), with kInvalidArgument, kBusy or
  // kUnavailable when it was not published, and with kTimeout when it may
  // still be accepted.
  boost::asio::awaitable<Result<LogOffset>> Publish(
      Publication publication,
      Configuration configuration) const;

  // Publishes the document at offset `to` again, or, for zero, the one before
  // the one in force.
  boost::asio::awaitable<Result<LogOffset>> Undo(Publication publication,
                                                 LogOffset to) const;

  // Adds a plan to the document in force and publishes it.
  boost::asio::awaitable<Result<LogOffset>> AddPlan(Publication publication,
                                                    PlanConfig plan) const;

 private:
  const AdminBackend* m_backend;
  std::weak_ptr<boost::asio::io_context> m_loop;
};

}  // namespace snipehall
