@0xd3b1f6a59f8e4c21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("snipehall::rpc");

# Calls between entry instances.

struct LeaseRemaining {
  target @0 :Text;
  remainingMs @1 :Int64;
}

struct Heartbeat {
  from @0 :Text;
  incarnation @1 :UInt64;
  offset @2 :UInt64;
  confirmed @3 :Bool;
  leaving @4 :Bool;
  leases @5 :List(LeaseRemaining);
}

struct LogRecord {
  offset @0 :UInt64;
  # Text of the record as it stands in the log.
  data @1 :Text;
}

interface Peer {
  heartbeat @0 (heartbeat :Heartbeat) -> (answer :Heartbeat);
  # Records from `from` on, beginning with a snapshot record when older ones
  # were dropped.
  records @1 (from :UInt64, max :UInt32) -> (records :List(LogRecord));
}
