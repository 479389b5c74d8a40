@0xc58f0a1de2b94f73;

# Records that an instance passes on to another one in its availability zone.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("snipehall::wire");

struct RecordPage {
  # Offset of the next record of the topic.
  end @0 :UInt64;
  # Time since the instance read the topic, milliseconds.
  ageMs @1 :UInt32;
  records @2 :List(Record);

  struct Record {
    key @0 :Text;
    value @1 :Data;
  }
}
