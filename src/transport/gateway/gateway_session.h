#pragma once

#include <memory>

#include "transport/gateway/gateway_context.h"
#include "transport/gateway/gateway_request.h"
#include "transport/gateway/gateway_router.h"

namespace snipehall {

// A caller's connection: reads requests one after the other and answers each.
class GatewaySession : public std::enable_shared_from_this<GatewaySession> {
 public:
  GatewaySession(GatewayContext& context, Socket socket);
  ~GatewaySession();
  GatewaySession(const GatewaySession&) = delete;
  GatewaySession& operator=(const GatewaySession&) = delete;

  Task<void> Run();

  // A request has begun to arrive and is not answered yet.
  bool busy() const { return m_busy; }
  // Ends the connection if no request is in progress.
  void CloseIfIdle();

 private:
  // Reads the next request. False when the connection is to end; an error of
  // the caller's has been answered then.
  Task<bool> ReadRequest();
  Task<bool> ReadHead();
  bool ParseHead(std::size_t size);
  Task<bool> ReadBody();
  // Finds the route and the deadline; answers and returns false without a
  // route.
  Task<bool> FindRoute();
  Task<void> Serve();
  Task<void> Reject(int status, std::string_view cause);
  Task<void> Write(const GatewayOutcome& outcome);
  void NoteOutcome(const GatewayRouter& router, const GatewayOutcome& outcome);
  RequestLimits limits() const;

  GatewayContext& m_context;
  std::shared_ptr<ByteStream> m_stream;
  GatewayRequest m_request;
  bool m_busy = false;
  bool m_watches = false;
};

}  // namespace snipehall
