@0xd3a1b0c95e7f4a26;

# Datagram from an instance to the lead: what the instance saw of a keyed
# service since its last report.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("snipehall::wire");

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
