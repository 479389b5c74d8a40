#pragma once

#include <memory>

#include "transport/active_request.h"
#include "transport/data_context.h"
#include "transport/request_router.h"

namespace snipehall {

// One connection of a caller: reads its requests one after the other, has each
// served and answered before it looks at the next.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(DataContext& context, Socket socket);
  ~CallerSession();

  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  // Serves the connection until it ends.
  Task<void> Run();

  // The instance drains: closes the connection once it has no request.
  void OnDrain();
  // Breaks off whatever the connection is doing.
  void Stop();
  bool has_request() const { return m_has_request; }

 private:
  enum class ReadEnd { kRequest, kClosed, kReplied };

  void OnExpiry();
  void OnCallerInput();

  // Reads up to the end of a request's head, and a short body whole.
  Task<ReadEnd> ReadRequest();
  Task<ReadEnd> ReadHead();
  Task<ReadEnd> ParseHead(std::size_t size);
  Result<void> ParseFraming();
  Task<ReadEnd> ReadShortBody();

  Task<void> Serve();
  // Finds the service and class; fails with the reply to send.
  Task<bool> Prepare();
  void GenerateId();

  Task<void> Reply(LocalReply reply);
  // Replies and closes the connection.
  Task<ReadEnd> Reject(int status, RefusalReason reason);
  void NoteRequest(Verdict verdict);
  // Reads on for a short time, so that an answer is not lost to a reset.
  Task<void> Linger();
  // Whether a read ended because an earlier request was broken off, and may
  // simply be repeated.
  bool IsLeftover(const boost::system::error_code& error) const;

  DataContext& m_context;
  std::shared_ptr<ByteStream> m_stream;
  std::shared_ptr<DeadlineTimer> m_timer;
  ActiveRequest m_request;
  std::shared_ptr<ServiceState> m_service;
  std::size_t m_class_index = 0;
  bool m_has_request = false;
  bool m_lingers = false;
};

}  // namespace snipehall
