#pragma once

#include <map>
#include <string>
#include <string_view>

#include "coordination/controller.h"
#include "state/record.h"

namespace snipehall {

// Allows at most one append in flight per subject. A subject is what a record
// changes, for example "assignment/SERVICE".
class PendingAppends {
 public:
  // `self` and `incarnation` make the record ids unique.
  PendingAppends(const InstanceId& self, Incarnation incarnation);

  // Whether the subject has no append in flight.
  bool IsFree(std::string_view subject) const;

  // Returns a record with a unique id and marks the subject as pending. `body`
  // is one of the record bodies.
  template <typename Body>
  Record MakeRecord(MonotonicTime now,
                    std::string_view subject,
                    LogOffset based_on,
                    Body body) {
    Record record{NextId(), m_author, based_on, std::move(body)};
    m_outstanding[std::string(subject)] = {record.id, now};
    return record;
  }

  // Call when the record with this id was read from the log; frees its subject.
  void OnRead(std::string_view id);
  // Call when the subject's version changed, which makes a pending record
  // stale; frees the subject.
  void OnVersionChange(std::string_view subject);
  // Call when a read that began at `began` reached the end of the log. A record
  // that was sent well before and is not in the log counts as lost, and its
  // subject is freed. If the record still arrives, either it or its replacement
  // is stale and has no effect.
  void OnCompleteRead(MonotonicTime began);

 private:
  struct Outstanding {
    std::string id;
    MonotonicTime sent;
  };

  std::string NextId();

  std::string m_author;
  std::string m_prefix;
  std::uint64_t m_count = 0;
  std::map<std::string, Outstanding, std::less<>> m_outstanding;
};

}  // namespace snipehall
