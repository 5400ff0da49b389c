@0xd4c7a1f2b8e93065;

# Messages between hosts. A frame on the wire is a 4-byte big-endian length and one Frame.

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Hello {
  protocol @0 :UInt16;
  host @1 :Text;
  incarnation @2 :UInt64;
  domain @3 :Text;
}

struct GroupState {
  service @0 :Text;
  group @1 :UInt32;
  generation @2 :UInt64;
  load @3 :Float32;
}

struct Suspect {
  fingerprint @0 :UInt64;
  deaths @1 :List(UInt64);
  idempotencyKey @2 :Text;
  expiresAt @3 :Float64;
}

struct Member {
  host @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  address @3 :Text;
  state @4 :UInt8;
  at @5 :Float64;
}

struct Heartbeat {
  host @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  address @3 :Text;
  catalogVersion @4 :UInt64;
  groups @5 :List(GroupState);
  suspects @6 :List(Suspect);
  leaving @7 :Bool;
  sentAt @8 :Float64;
  platformSeenAt @9 :Float64;
  rowsDigest @10 :UInt64;
  membersDigest @11 :UInt64;
  members @12 :List(Member);
  echo @13 :Float64;
}

struct Pulse {
  sentAt @0 :Float64;
  echo @1 :Float64;
  catalogVersion @2 :UInt64;
}

struct RequestHead {
  id @0 :Text;
  service @1 :Text;
  key @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :List(Header);
  deadline @6 :Float64;
  idempotencyKey @7 :Text;
  group @8 :UInt32;
  query @9 :Bool;
}

struct ResponseHead {
  status @0 :UInt16;
  headers @1 :List(Header);
}

struct Failure {
  outcome @0 :Text;
  reason @1 :Text;
  detail @2 :Text;
  status @3 :UInt16;
  retryAfter @4 :Float64;
}

struct Probe {
  host @0 :Text;
}

struct ProbeAnswer {
  heardAt @0 :Float64;
}

struct Intent {
  service @0 :Text;
  group @1 :UInt32;
  generation @2 :UInt64;
  idempotencyKey @3 :Text;
  fingerprint @4 :UInt64;
  createdAt @5 :Float64;
  state @6 :Text;
  status @7 :UInt16;
  headers @8 :List(Header);
  body @9 :Data;
}

struct IntentBatch {
  service @0 :Text;
  group @1 :UInt32;
  generation @2 :UInt64;
  source @3 :UInt64;
  sequence @4 :UInt64;
  complete @5 :Bool;
  records @6 :List(Intent);
}

struct IntentFetch {
  service @0 :Text;
  group @1 :UInt32;
  generation @2 :UInt64;
  sequence @3 :UInt64;
}

struct Document {
  name @0 :Text;
  version @1 :UInt64;
  content @2 :Data;
}

struct Notice {
  kind @0 :Text;
  service @1 :Text;
  group @2 :UInt32;
  generation @3 :UInt64;
  deadline @4 :Float64;
}

struct Frame {
  stream @0 :UInt64;
  union {
    hello @1 :Hello;
    heartbeat @2 :Heartbeat;
    requestHead @3 :RequestHead;
    chunk @4 :Data;
    end @5 :Void;
    responseHead @6 :ResponseHead;
    failure @7 :Failure;
    cancel @8 :Void;
    window @9 :UInt32;
    probe @10 :Probe;
    probeAnswer @11 :ProbeAnswer;
    intents @12 :IntentBatch;
    acknowledge @13 :Bool;
    fetch @14 :Text;
    document @15 :Document;
    announce @16 :Document;
    notice @17 :Notice;
    pulse @18 :Pulse;
    intentFetch @19 :IntentFetch;
  }
}
