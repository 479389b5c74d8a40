#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "protocol/json_fields.h"
#include "standins/common/http_server.h"

namespace snipehall::standin {

// Serves one of a stand-in's `/test/` switches: `read` takes the fields of the
// request's JSON body and returns a function that applies them, which is
// called when no field was faulty. Answers 200 or 400.
template <typename Read>
void ApplyControl(const std::shared_ptr<HttpSession>& session, Read read) {
  namespace http = boost::beast::http;
  const auto document = ParseJson(session->request().body());
  if (!document.has_value()) {
    session->Answer(
        ErrorAnswer(http::status::bad_request, document.error().message));
    return;
  }
  std::optional<Error> error;
  JsonFields fields(document.value(), "", &error);
  const auto apply = read(fields);
  if (error.has_value()) {
    session->Answer(ErrorAnswer(http::status::bad_request, error->message));
    return;
  }
  apply();
  session->Answer(JsonAnswer(http::status::ok, "{}"));
}

}  // namespace snipehall::standin
