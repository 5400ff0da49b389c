@0xb1f0a4c97e3d2258;

# Messages between the leader and the other hosts of the gateway. Each message on the wire is a
# 4-byte big-endian length followed by one Frame.

struct Row {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Data;
  gone @3 :Bool;
  # Version of the row on which a delta is based; 0 if the value is complete.
  base @4 :UInt64;
  # Time of the sender's clock before which the row did not have this state; -inf if unknown.
  changedAfter @5 :Float64 = -inf;
}

struct Change {
  topic @0 :Text;
  version @1 :UInt64;
  whole @2 :Bool;
  rows @3 :List(Row);
}

struct Keys {
  service @0 :Text;
  first @1 :UInt16;
  last @2 :UInt16;
}

struct TargetLoad {
  target @0 :Text;
  load @1 :Float32;
}

# State update from the leader to the other hosts.
struct News {
  leading @0 :Bool;
  followedAge @1 :Float32;
  hosts @2 :UInt16;
  changes @3 :List(Change);
  moving @4 :List(Keys);
  suspects @5 :List(Suspect);
  overloaded @6 :List(TargetLoad);
  # Addresses of the hosts that read the store while the leader is silent.
  backups @7 :List(Text);
  # Estimates that have changed, or all of them in the first update of a link.
  targetSpeeds @8 :List(TargetSpeed);
  statements @9 :List(TargetStatement);
  # Time of the sender's clock, and the time up to which it knows all changes; -inf if unknown.
  sentAt @10 :Float64;
  completeUntil @11 :Float64 = -inf;
  # Last term of the sender that it has ended before its lease; empty if there is none.
  resignedTerm @12 :Text;
}

# What a process of a target has stated about itself.
struct TargetStatement {
  target @0 :Text;
  # Start of the target's process in Unix milliseconds.
  incarnation @1 :UInt64;
  # Seconds since the process first stated that it is leaving; inf if it has not.
  leavingAge @2 :Float32 = inf;
  # Remaining seconds for which the process is cold.
  coldSeconds @3 :Float32;
}

# Learned speed of a target.
struct TargetSpeed {
  target @0 :Text;
  # Start of the target's process in Unix milliseconds.
  incarnation @1 :UInt64;
  # Work time relative to that of the service, and the standard error of this ratio.
  workRatio @2 :Float32;
  error @3 :Float32;
  # Number of requests in progress that the target takes without slowing down.
  inProgress @4 :Float32;
  # Seconds since the last measurement.
  age @5 :Float32;
}

struct KeyCount {
  key @0 :UInt16;
  count @1 :UInt32;
}

struct ServiceHeat {
  service @0 :Text;
  counts @1 :List(KeyCount);
}

struct Work {
  target @0 :Text;
  seconds @1 :Float32;
  samples @2 :UInt32;
  # Requests per second that the target takes from all hosts together.
  requestLimit @3 :Float32 = inf;
  # Mean of the measured work times relative to those expected of the same requests; 0 if unknown.
  ratio @4 :Float32;
}

struct Suspect {
  fingerprint @0 :UInt64;
  deaths @1 :List(UInt64);
  expiresAt @2 :Float64;
  # Losses of attempts that were sent before any other loss was known.
  concurrent @3 :List(UInt64);
  # Losses that the request did not cause.
  cleared @4 :List(UInt64);
}

# Load report from a host to the leader.
struct Report {
  host @0 :Text;
  heat @1 :List(ServiceHeat);
  work @2 :List(Work);
  suspects @3 :List(Suspect);
  # Only in the first report of a link.
  hello @4 :Hello;
  # Version of the configuration in force on the host.
  configuration @5 :UInt64;
  # Number of the report on its link, from 1 on.
  number @6 :UInt64;
  demands @7 :List(AllowanceDemand);
  statements @8 :List(TargetStatement);
  # Seconds since the host itself last had all changes by operators and targets from the store.
  followedAge @9 :Float32 = inf;
}

struct AllowanceDemand {
  allowance @0 :Text;
  # Tokens that the host wants to hold in addition, and those that it gives back.
  wanted @1 :Float32;
  returned @2 :Float32;
  # Tokens that the host still holds, without those that it gives back.
  held @3 :Float32;
}

# Answer to the last report of a host, after all changes that its sender had applied.
struct ReportAnswer {
  # Number of the report.
  report @0 :UInt64;
  # Seconds since the operators' rows of the sender were known to be complete; inf if never.
  stateAge @1 :Float32 = inf;
  grants @2 :List(AllowanceGrant);
}

struct AllowanceGrant {
  allowance @0 :Text;
  tokens @1 :Float32;
}

struct TopicVersion {
  topic @0 :Text;
  version @1 :UInt64;
}

struct Hello {
  address @0 :Text;
  domain @1 :Text;
  capacity @2 :Float32;
  follow @3 :Bool;
  versions @4 :List(TopicVersion);
}

struct Frame {
  union {
    news @0 :News;
    report @1 :Report;
    # Another Frame, compressed with zlib.
    packed @2 :Data;
    answer @3 :ReportAnswer;
  }
}
