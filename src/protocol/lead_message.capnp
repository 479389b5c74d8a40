@0xd3a1b0c95e7f4a26;

# Datagrams between an instance and the lead.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("snipehall::wire");

struct LeadMessage {
  # The instance that sends it.
  from @0 :Text;

  union {
    # To the lead.
    report @1 :Report;
    # From the lead, in answer to a report.
    serving @2 :Serving;
    # From an instance that is not the lead, or will soon not be any more.
    notServing @3 :Void;
    # From a former lead to its successor.
    replaced @4 :Replaced;
    # From the lead: tokens of ranges whose move has ended, though the newest
    # key table may still show them as moving.
    settled @5 :List(UInt64);
  }
}

struct Report {
  zone @0 :Text;
  # Where other instances may read the log's records.
  relayAddress @1 :Text;
  # What the sender saw of a keyed service.
  load @2 :LoadReport;
  # Rate of the sender's link, Mbit/s.
  link @3 :UInt32;
}

struct Serving {
  # The instance that reads the log for the receiver's availability zone.
  reader @0 :Text;
  # Rate of the fastest link of an instance that reports, Mbit/s.
  fastestLink @1 :UInt32;
}

struct Replaced {
  # Of the successor.
  term @0 :UInt64;
  # How long the former lead's grants last at most.
  holdsMs @1 :UInt32;
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
