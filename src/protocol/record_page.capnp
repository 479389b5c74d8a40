@0xc58f0a1de2b94f73;

# Log records that an instance relays to another one in its availability zone.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("snipehall::wire");

struct RecordPage {
  # Offset that the next record of the topic will get.
  end @0 :UInt64;
  # Time since the sender read the topic, in milliseconds.
  ageMs @1 :UInt32;
  records @2 :List(Record);
  # Era of the log in which the sender read the topic.
  era @3 :UInt64;

  struct Record {
    key @0 :Text;
    value @1 :Data;
  }
}
