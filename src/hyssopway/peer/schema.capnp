@0xd1c7a4f29b3e6085;

# Messages between daemons. Commands, outcomes, dumps and snapshots travel as encoded bytes.

struct LogEntry {
  term @0 :UInt64;
  kind @1 :UInt8;
  data @2 :Data;
}

struct VoteRequest {
  term @0 :UInt64;
  candidate @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  preVote @4 :Bool;
  target @5 :Text;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
}

struct AppendRequest {
  term @0 :UInt64;
  leader @1 :Text;
  previousIndex @2 :UInt64;
  previousTerm @3 :UInt64;
  commitIndex @4 :UInt64;
  entries @5 :List(LogEntry);
  target @6 :Text;
}

struct AppendReply {
  term @0 :UInt64;
  success @1 :Bool;
  matchIndex @2 :UInt64;
  member @3 :Text;
  supportedVersion @4 :UInt32;
}

struct SnapshotChunk {
  term @0 :UInt64;
  leader @1 :Text;
  index @2 :UInt64;
  indexTerm @3 :UInt64;
  configuration @4 :Data;
  offset @5 :UInt64;
  data @6 :Data;
  last @7 :Bool;
}

struct WatchReply {
  firstIndex @0 :UInt64;
  entries @1 :List(Data);
  appliedIndex @2 :UInt64;
  confirmedAgeMs @3 :Int64;
  waitedMs @4 :UInt32;
  snapshotSize @5 :UInt64;
}

struct ConfirmReply {
  commitIndex @0 :UInt64;
  confirmedAgeMs @1 :Int64;
}

struct ProposeReply {
  accepted @0 :Bool;
  leader @1 :Text;
  outcome @2 :Data;
}

struct Credit {
  endpoint @0 :Text;
  address @1 :Text;
  service @2 :Text;
  environment @3 :Text;
  creditId @4 :UInt64;
  leaseMs @5 :UInt32;
  vm @6 :Text;
}

struct CreditRequest {
  daemon @0 :Text;
  environment @1 :Text;
  service @2 :Text;
  wanted @3 :UInt32;
  renewed @4 :List(UInt64);
  returned @5 :List(UInt64);
  waiting @6 :UInt32;
  avoided @7 :List(Text);
}

struct CreditReply {
  credits @0 :List(Credit);
  renewed @1 :List(UInt64);
  waiting @2 :UInt32;
  recalled @3 :List(UInt64);
}

interface Peer {
  vote @0 (request :VoteRequest) -> (reply :VoteReply);
  append @1 (request :AppendRequest) -> (reply :AppendReply);
  installSnapshot @2 (chunk :SnapshotChunk) -> (reply :AppendReply);
  propose @3 (command :Data) -> (reply :ProposeReply);
  confirm @4 (daemon :Text) -> (reply :ConfirmReply);
  watch @5 (daemon :Text, fromIndex :UInt64, waitMs :UInt32) -> (reply :WatchReply);
  readSnapshot @6 (offset :UInt64) -> (data :Data, index :UInt64, total :UInt64);
  credits @7 (request :CreditRequest) -> (reply :CreditReply);
  heldCredits @8 (endpoint :Text, daemon :Text) -> (credits :List(Credit));
  exchange @9 (topic :Text, data :Data) -> (data :Data);
}

interface Gate {
  authenticate @0 (daemon :Text, token :Text) -> (peer :Peer);
}
