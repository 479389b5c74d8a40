#pragma once

#include <map>
#include <string>
#include <string_view>

#include "coordination/controller.h"
#include "state/record.h"

namespace snipehall {

// Keeps at most one append outstanding for each thing that a record changes,
// for example the assignment of one service.
class AppendSlots {
 public:
  AppendSlots(const InstanceId& self, Incarnation incarnation);

  bool IsFree(std::string_view slot) const;

  // Makes a record with a unique id and occupies the slot. `body` is any body
  // of a record.
  template <typename Body>
  Record Make(MonotonicTime now,
              std::string_view slot,
              LogOffset based_on,
              Body body) {
    Record record{NextId(), m_author, based_on, std::move(body)};
    m_outstanding[std::string(slot)] = {record.id, now};
    return record;
  }

  // The record was read from the log.
  void OnRead(std::string_view id);
  // The slot's version changed, so an outstanding record is stale.
  void OnVersionChange(std::string_view slot);
  // A read that began at `began` returned the end of the log. An append that
  // it does not show, although it was sent well before, was lost. If it arrives
  // all the same, one of the two records is stale.
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
