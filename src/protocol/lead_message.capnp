@0xd3a1b0c95e7f4a26;

# Datagrams that the leader and the other instances send to each other.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("snipehall::wire");

struct LeadMessage {
  # ID of the sender.
  from @0 :Text;

  union {
    # To the leader.
    report @1 :Report;
    # Answer of the leader to a report.
    serving @2 :Serving;
    # Answer of an instance that is not the leader, or is about to give up the
    # role.
    notServing @3 :Void;
    # From the previous leader to its successor.
    replaced @4 :Replaced;
    # From the leader: fencing tokens of ranges whose move has completed. The newest
    # key table may still list them as moving.
    settled @5 :List(UInt64);
    # To the leader: asks whether a request may be sent to a target that limits its
    # request rate.
    permitRequest @6 :PermitRequest;
    # Answer of the leader to a permitRequest.
    permitResponse @7 :PermitResponse;
    # To the leader: the term of its key table, which lacks assignments that the
    # sender knows.
    outdated @8 :UInt64;
    # To the leader: connections to targets that ended without a response.
    targetsLost @9 :List(TargetLost);
    # To the leader: digest of a request that a target has responded to after all.
    harmless @10 :UInt64;
    # From the leader: digests of the requests that crash their targets.
    blocked @11 :List(UInt64);
    # To the leader: a target has stated that it is leaving.
    leaving @12 :TargetLeaving;
    # From the leader, after serving: load of targets and busy keys.
    targetLoads @13 :TargetLoads;
  }
}

struct Report {
  zone @0 :Text;
  # "address:port" at which other instances can read the log's records, or empty.
  relayAddress @1 :Text;
  # Load of a keyed service that the sender has observed.
  load @2 :LoadReport;
  # Rate of the sender's network link, in Mbit/s.
  link @3 :UInt32;
  # The services of which the sender reaches no target.
  cutOff @4 :List(Text);
  # The sender is shutting down.
  shuttingDown @5 :Bool;
  # Load and speed of targets that the sender has seen since its last report.
  targetLoads @6 :List(TargetLoadSample);
}

struct TargetLoadSample {
  target @0 :Text;
  # Requests at the target and its slots by its newest report, and the age of that
  # report in milliseconds; no slots without one.
  outstanding @1 :UInt16;
  slots @2 :UInt16;
  ageMs @3 :UInt16;
  # Responses without queueing, and the sum of their service times, each relative to
  # the mean of its route.
  responses @4 :UInt16;
  relativeTimeSum @5 :Float32;
  # Those of them at more than half of the slots.
  busyResponses @6 :UInt16;
  busyTimeSum @7 :Float32;
}

struct TargetLoadSummary {
  target @0 :Text;
  # As in TargetLoadSample.
  outstanding @1 :UInt16;
  slots @2 :UInt16;
  ageMs @3 :UInt16;
  # Service time relative to the mean of the service's targets, in percent.
  relativeTimePercent @4 :UInt16 = 100;
  # The same while at most half of the slots are busy, and while more are; zero if
  # the sender does not tell them apart.
  lightTimePercent @5 :UInt16;
  busyTimePercent @6 :UInt16;
}

struct KeyAdmissions {
  service @0 :Text;
  # Keys with more requests than their owner can serve, and for each the part of its
  # requests that may be sent, in thousandths.
  keys @1 :List(UInt16);
  admittedPerMille @2 :List(UInt16);
}

struct Serving {
  # "address:port" of the instance that reads the log for the receiver's
  # availability zone.
  reader @0 :Text;
  # Rate of the fastest network link among the reporting instances, in Mbit/s.
  fastestLink @1 :UInt32;
  # Number of instances, or 0 when the leader does not know it yet.
  instances @2 :UInt32;
  # For each service of which the receiver reaches no target: instances that serve
  # requests for it.
  forwarders @3 :List(Forwarders);
}

struct TargetLoads {
  # Load and speed of targets by the reports of all instances.
  targets @0 :List(TargetLoadSummary);
  # The busy keys of which only a part of the requests may be sent.
  keyAdmissions @1 :List(KeyAdmissions);
}

struct Forwarders {
  service @0 :Text;
  # "address:port" of each instance.
  addresses @1 :List(Text);
}

struct PermitRequest {
  # Chosen by the sender, to match the response.
  number @0 :UInt64;
  target @1 :Text;
  # Rate limit that the target has named, in requests per second.
  limit @2 :Float64;
}

struct PermitResponse {
  # From the request.
  number @0 :UInt64;
  granted @1 :Bool;
  # Time until the next permit is due, in milliseconds; 0 if granted.
  retryAfterMs @2 :UInt32;
}

struct TargetLost {
  # Digest of the request.
  digest @0 :UInt64;
  # Time since the request was sent to the target, in milliseconds.
  sentAgoMs @1 :UInt32;
  # Time since the connection ended, in milliseconds.
  lostAgoMs @2 :UInt32;
  # Identifies the loss among those of the request.
  number @3 :UInt64;
}

struct TargetLeaving {
  id @0 :Text;
  # Start time of the target's process, Unix time in milliseconds.
  startMs @1 :Int64;
}

struct Replaced {
  # Term of the successor.
  term @0 :UInt64;
  # Longest time for which grants of the previous leader remain valid, in
  # milliseconds.
  holdsMs @1 :UInt32;
  # Incarnation of the previous leader; zero from earlier builds.
  incarnation @2 :UInt64;
}

struct LoadReport {
  service @0 :Text;
  keys @1 :List(UInt32);
  requestsPerKey @2 :UInt32;
  targets @3 :List(TargetTimes);

  struct TargetTimes {
    id @0 :Text;
    answers @1 :UInt32;
    timeMs @2 :UInt32;
  }
}
