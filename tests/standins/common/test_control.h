#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "protocol/json_fields.h"
#include "standins/common/http_server.h"

namespace snipehall::standin {

// Handles a request to one of the `/test/` paths, which control a stand-in.
// `read` reads the fields of the JSON body and returns a function that applies
// them. That function is called only if all fields are valid. Answers with 200,
// or with 400 if the body is invalid.
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
