#pragma once

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/key_admission_planner.h"
#include "coordination/key_load.h"
#include "coordination/target_load_table.h"
#include "state/key_table.h"
#include "state/types.h"

namespace snipehall {

// Periodic report of an instance to the leader; its response also shows that
// the leader is alive.
struct LeaderReport {
  ZoneName zone;
  // "address:port" where other instances may read the records of the log from
  // this one; empty when it has no new records or is shutting down.
  std::string relay_address;
  // Load of a keyed service; none when its service name is empty.
  KeyLoadReport load;
  // Rate of the instance's network link, Mbit/s; zero when it is not known.
  LinkRate link_mbps = 0;
  // The services of which the instance reaches no target; see
  // TargetReachability.
  std::set<ServiceName, std::less<>> cut_off_services;
  // The instance is shutting down, so that none forwards requests to it.
  bool shutting_down = false;
  // Load and speed of targets that the instance has seen since its last report.
  std::vector<TargetLoadSample> target_loads;
};

// Response of the leader to a report.
struct LeaderServing {
  // "address:port" of the instance that reads the log for the zone.
  std::string relay;
  // Rate of the fastest link of an instance that reports, Mbit/s.
  LinkRate fastest_link_mbps = 0;
  // Number of instances; zero when the leader does not know it.
  int instances = 0;
  // For each service of which the receiver reaches no target: "address:port" of
  // instances that serve requests for it.
  std::map<ServiceName, std::vector<std::string>, std::less<>> forwarders;
};

// Follows the leader's response to a report, where the configuration asks for
// it. Earlier builds do not know it, and could not receive one as large.
struct LeaderTargetLoads {
  // Load and speed of targets by the reports of all instances; see
  // TargetLoadCollector.
  std::vector<TargetLoadSummary> targets;
  // Part of the requests for busy keys that may be sent; see
  // KeyAdmissionPlanner.
  std::map<ServiceName, KeyFractions, std::less<>> key_admissions;
};

// Announces completed moves of keys to the other instances, so that the leader
// need not append a version of the table for each.
struct LeaderMovesCompleted {
  // Tokens of the ranges that their new owners were granted.
  std::vector<FencingToken> fencing_tokens;
};

// Asks the leader whether a request may be sent to a target that limits its
// request rate; see SharedRateLimiter.
struct LeaderPermitRequest {
  // Chosen by the sender, to match the response.
  std::uint64_t number = 0;
  TargetId target;
  // Limit that the target has named, requests per second.
  double limit = 0;
};

// Response of the leader to a LeaderPermitRequest.
struct LeaderPermitResponse {
  std::uint64_t number = 0;
  bool granted = false;
  // Time until the next permit is due; zero if granted.
  Milliseconds retry_after{0};
};

// Response of an instance that is not the leader or is about to give up the
// role.
struct LeaderNotServing {};

// Message of a replaced leader to its successor.
struct LeaderReplaced {
  // Term of the successor; see KeyTable::term.
  std::uint64_t term = 0;
  // Upper bound of the time until all grants of the replaced leader, and of the
  // leaders before it, have expired.
  Milliseconds remaining_grant_time{0};
  // The replaced leader's process; zero from earlier builds.
  Incarnation incarnation = 0;
};

// Message to a leader that appended the first table after a restore of the log:
// the sender knows newer assignments and is about to append them.
struct LeaderTableOutdated {
  // Term of the outdated table; see KeyTable::term.
  std::uint64_t term = 0;
};

// Tells the leader of connections to targets that ended without a response to a
// request; see PoisonRequestDetector.
struct LeaderTargetsLost {
  struct Loss {
    RequestDigest digest = 0;
    // Times since the request was sent to the target and since the connection
    // ended.
    Milliseconds sent_ago{0};
    Milliseconds lost_ago{0};
    // Identifies the loss; see PoisonRequestDetector::Loss.
    std::uint64_t number = 0;
  };

  std::vector<Loss> losses;
};

// Tells the leader that a target has responded to a request that was suspected
// to crash targets.
struct LeaderRequestHarmless {
  RequestDigest digest = 0;
};

// From the leader: the requests that must not be sent to any target.
struct LeaderRequestsBlocked {
  std::vector<RequestDigest> digests;
};

// Tells the leader that a target has stated that it is leaving. The list of
// targets may show it later, or not at all.
struct LeaderTargetLeaving {
  TargetId target;
  // Of the target's process; see ListedTarget::start_time_ms.
  std::int64_t start_time_ms = 0;
};

// A datagram between an instance and the leader.
struct LeaderMessage {
  InstanceId from;
  std::variant<LeaderReport,
               LeaderServing,
               LeaderTargetLoads,
               LeaderMovesCompleted,
               LeaderNotServing,
               LeaderReplaced,
               LeaderTableOutdated,
               LeaderTargetsLost,
               LeaderRequestHarmless,
               LeaderRequestsBlocked,
               LeaderTargetLeaving,
               LeaderPermitRequest,
               LeaderPermitResponse>
      content;
};

}  // namespace snipehall
