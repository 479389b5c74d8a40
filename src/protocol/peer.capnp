@0xd3b1f6a59f8e4c21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("snipehall::rpc");

# RPC interface between entry instances.

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
  # JSON text of the record as the log stores it; empty if the sender could not
  # decode the record.
  data @1 :Text;
}

interface Peer {
  heartbeat @0 (heartbeat :Heartbeat) -> (answer :Heartbeat);
  # Returns at most `max` records, starting at offset `from`, or at a snapshot
  # record if older records have been dropped.
  records @1 (from :UInt64, max :UInt32) -> (records :List(LogRecord));
}
