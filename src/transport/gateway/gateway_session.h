#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <utility>

#include "transport/gateway/gateway_context.h"
#include "transport/gateway/gateway_request.h"
#include "transport/gateway/gateway_router.h"

namespace snipehall {

// A caller's connection. Idempotent requests without a body may be pipelined
// (RFC 9112, section 9.3.2): they are served concurrently and answered in the
// order in which they arrived. Every other request waits until all earlier ones
// are answered, because a caller sends requests again that are behind a
// response which closes the connection.
class GatewaySession : public std::enable_shared_from_this<GatewaySession> {
 public:
  // Maximum number of requests of one connection that are served at once; later
  // ones stay in the read buffer.
  static constexpr int kMaxPipelinedRequests = 16;

  GatewaySession(GatewayContext& context, Socket socket);
  // A connection of another instance, which forwards requests. `stream` may
  // have input already.
  GatewaySession(GatewayContext& context, std::shared_ptr<ByteStream> stream);
  ~GatewaySession();
  GatewaySession(const GatewaySession&) = delete;
  GatewaySession& operator=(const GatewaySession&) = delete;

  // Serves requests until either side closes the connection.
  Task<void> Run();

  // Whether a request has begun to arrive and is not answered yet.
  bool busy() const { return m_receiving || !m_pipeline.empty(); }
  // Whether more requests may be read or responses have to be sent.
  bool open() const { return busy() || !(m_ended || m_close_announced); }
  // Whether another instance forwards requests on the connection.
  bool from_instance() const { return m_from_instance; }
  // Whether a request has arrived on an idle connection and has not been read.
  bool HasUnreadRequest();
  // When the session began to wait for bytes of a request; nothing while a
  // request is in progress, and for connections of other instances.
  std::optional<MonotonicTime> waiting_since() const;
  // Closes the connection, which waits for bytes of a request, without a
  // response: there are too many connections.
  void Evict();
  // Closes the connection unless a request is in progress or has arrived, or
  // the connection is so new that its first request may be on its way. For
  // shutdown.
  void CloseIfIdle();
  // Ends the requests in progress, each with a response.
  void ExpireRequests();

 private:
  // A request with its response.
  struct Exchange {
    Exchange(const Executor& executor, std::shared_ptr<ByteStream> caller)
        : request(executor, std::move(caller)) {}

    GatewayRequest request;
    GatewayOutcome outcome;
    // `outcome` is final and can be sent.
    bool complete = false;
  };

  // Reads the next request and starts to serve it. Returns false when no more
  // requests are to be read; a malformed, oversized or late request has got its
  // response then.
  Task<bool> ReadRequest();
  Task<bool> ReadHead(Exchange& exchange);
  // Parses the first `size` bytes of input; false when they are malformed.
  bool ParseHead(GatewayRequest& request, std::size_t size);
  Task<bool> ReadBody(Exchange& exchange);
  // Sets the route and the deadline; false when the outcome is final without.
  bool FindRoute(Exchange& exchange);
  // Waits until the requests in progress allow the next one to be read. Returns
  // false when the session ends.
  Task<bool> WaitForRoom();
  // Waits until all earlier requests are answered. Returns false when the
  // session ends.
  Task<bool> WaitForTurn();
  // Waits for input or another event of the connection.
  Task<void> WaitForEvent();

  // Routes the request of `exchange` and sends its response in turn.
  Task<void> Serve(std::shared_ptr<Exchange> exchange);
  // Sends the responses that are complete and whose turn it is.
  Task<void> WriteResponses();
  // False when the connection failed.
  Task<bool> WriteResponse(Exchange& exchange);
  // Header lines that only other instances get.
  std::string FieldsForInstance(const Exchange& exchange) const;
  // Adds a piece of the body. False if there is no memory for it.
  static bool AppendToBody(GatewayRequest& request, std::string_view piece);
  // Makes `outcome` the response of `exchange`, which is the last one read.
  static bool Reject(Exchange& exchange, int status, std::string_view cause);
  // The same for a request for which there is no memory now.
  bool RejectForMemory(Exchange& exchange);
  void RecordOutcome(const GatewayRouter& router, const Exchange& exchange);
  // Ends the session's work: no request is read any more, and those in progress
  // are cancelled.
  void End();
  // Closes the sending side and discards input until the caller closes, so that
  // unread input does not make the kernel reset the connection while responses
  // are on their way.
  Task<void> CloseGracefully();
  // No request is read any more.
  bool ending() const {
    return m_ended || m_close_announced || m_stream->input_error();
  }
  // Notes when the bytes of the last read arrived.
  void RecordArrival();
  // When the first unread byte arrived.
  MonotonicTime UnreadSince();
  RequestLimits limits() const;
  // Maximum size of a request's head on this connection, bytes.
  std::size_t max_head_bytes() const;

  GatewayContext& m_context;
  std::shared_ptr<ByteStream> m_stream;
  bool m_from_instance = false;
  // Notified of input, of responses that have been sent, and of expired time
  // limits. The coroutine that reads requests waits for it.
  AsyncEvent m_event;
  // Time limit of the current read.
  std::shared_ptr<DeadlineTimer> m_read_timer;
  std::shared_ptr<DeadlineTimer> m_write_timer;
  // Requests that have not got their responses yet, oldest first.
  std::deque<std::shared_ptr<Exchange>> m_pipeline;
  // When the first read began or the last response was sent.
  MonotonicTime m_idle_since = MonotonicTime::max();
  // Reads that ended with unread bytes, oldest first: ByteStream's
  // received_bytes() at their end, and their time. When there are many, those
  // close to each other share the time of the first.
  std::deque<std::pair<std::uint64_t, MonotonicTime>> m_arrivals;
  bool m_read_expired = false;
  // A request has begun to arrive and is not complete.
  bool m_receiving = false;
  // When it began to arrive.
  MonotonicTime m_receiving_since;
  // The current read is cancelled when its time limit expires. Only while no
  // response is being sent, because that would be cancelled as well.
  bool m_cancel_expired_read = false;
  bool m_writing = false;
  bool m_ended = false;
  // The last response says that the connection will be closed.
  bool m_close_announced = false;
};

}  // namespace snipehall
