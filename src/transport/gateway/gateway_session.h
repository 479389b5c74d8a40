#pragma once

#include <memory>

#include "transport/gateway/gateway_context.h"
#include "transport/gateway/gateway_request.h"
#include "transport/gateway/gateway_router.h"

namespace snipehall {

// A caller's connection: reads its requests one after another and answers each.
class GatewaySession : public std::enable_shared_from_this<GatewaySession> {
 public:
  GatewaySession(GatewayContext& context, Socket socket);
  ~GatewaySession();
  GatewaySession(const GatewaySession&) = delete;
  GatewaySession& operator=(const GatewaySession&) = delete;

  // Serves requests until either side closes the connection.
  Task<void> Run();

  // Whether a request has begun to arrive and is not answered yet.
  bool busy() const { return m_busy; }
  // Closes the connection unless a request is in progress or has arrived. For
  // shutdown.
  void CloseIfIdle();

 private:
  // Reads the next request. Returns false when the connection must be closed; a
  // malformed, oversized or late request has been answered then.
  Task<bool> ReadRequest();
  Task<bool> ReadHead();
  // Parses the first `size` bytes of input; false when they are malformed.
  bool ParseHead(std::size_t size);
  Task<bool> ReadBody();
  // Sets the route and the deadline. Without a route, answers and returns
  // false.
  Task<bool> FindRoute();
  Task<void> Serve();
  // Answers an invalid request; the connection is closed afterwards.
  Task<void> Reject(int status, std::string_view cause);
  Task<void> WriteResponse(const GatewayOutcome& outcome);
  void RecordOutcome(const GatewayRouter& router,
                     const GatewayOutcome& outcome);
  RequestLimits limits() const;

  GatewayContext& m_context;
  std::shared_ptr<ByteStream> m_stream;
  GatewayRequest m_request;
  bool m_busy = false;
  // A disconnect of the caller cancels the request.
  bool m_watching_caller = false;
};

}  // namespace snipehall
