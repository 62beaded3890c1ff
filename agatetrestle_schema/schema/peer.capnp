@0xb7c9a1d25e83f410;
# Calls between the daemon's own processes. Why this shape: docs/design/001-replicated-log-and-groups.md.

struct Position {
  # Place of an entry in a replicated log.
  term @0 :UInt64;
  index @1 :UInt64;
}

struct Entry {
  position @0 :Position;
  kind @1 :Kind;
  payload @2 :Data;

  enum Kind {
    command @0;
    noOperation @1;
    replicas @2;
  }
}

struct AgreementMessage {
  group @0 :UInt32;
  from @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  body :union {
    preVote @4 :Position;
    preVoteReply @5 :Bool;
    vote :group {
      last @6 :Position;
      transfer @7 :Bool;
    }
    voteReply @8 :Bool;
    append :group {
      previous @9 :Position;
      commit @10 :UInt64;
      round @11 :UInt64;
      entries @12 :List(Entry);
      learner @25 :Bool;
    }
    appendReply :group {
      accepted @13 :Bool;
      matched @14 :UInt64;
      round @15 :UInt64;
    }
    snapshot :group {
      position @16 :Position;
      offset @17 :UInt64;
      chunk @18 :Data;
      last @19 :Bool;
      round @22 :UInt64;
      learner @26 :Bool;
    }
    snapshotReply :group {
      position @20 :Position;
      received @21 :UInt64;
      round @23 :UInt64;
    }
    takeOver @24 :Void;
  }
}

struct Submission {
  # What became of a command that was handed to a replica of a group.
  union {
    applied @0 :Data;
    notLeader @1 :UInt64;     # the leader's node id if known, else 0; the command did not enter the log
    refused @2 :Text;         # the command did not enter the log
    unknown @3 :Text;         # the command may yet be applied
  }
}

struct Sign {
  # A sign that a VM or a backend server is leaving.
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct BackendLoad {
  backend @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  cachePermille @3 :UInt16;
  ageMillis @4 :UInt32;
}

struct Heartbeat {
  node @0 :UInt64;
  vm @1 :Text;
  failureDomain @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt64;
  callerAddress @5 :Text;
  peerAddress @6 :Text;
  revision @7 :UInt64;        # newest control revision in force on the sender
  stopping @8 :Bool;
  leaving @9 :List(Sign);
  loads @10 :List(BackendLoad);
  sentMicros @11 :UInt64;
  digestEpoch @12 :UInt64;    # of the last digest that the receiver gave to the sender
  digestSequence @13 :UInt64;
}

struct Member {
  node @0 :UInt64;
  vm @1 :Text;
  failureDomain @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt64;
  callerAddress @5 :Text;
  state @6 :State;
  revision @7 :UInt64;
  peerAddress @8 :Text;

  enum State {
    live @0;
    stopping @1;
    silent @2;
    leaving @3;
  }
}

struct Digest {
  # A control replica's answer to a heartbeat; it also renews the sender's lease on the configuration in force.
  revision @0 :UInt64;
  leaseMillis @1 :UInt32;     # 0 where this replica cannot confirm the revision
  members @2 :List(Member);
  leaving @3 :List(Sign);
  loads @4 :List(BackendLoad);
  epoch @5 :UInt64;           # of this replica's table; another one after a restart
  sequence @6 :UInt64;        # newest change that is told here
  full @7 :Bool;              # whether all members are told, not only the changed ones
}

interface Peer {
  deliver @0 (messages :List(AgreementMessage)) -> (replies :List(AgreementMessage));
  # Replies that are ready at once come back here, which saves a call in the other direction.
  submit @1 (group :UInt32, command :Data) -> (submission :Submission);
  heartbeat @2 (beat :Heartbeat) -> (digest :Digest);
  configuration @3 (known :UInt64) -> (revision :UInt64, documents :List(Document));
  history @4 (group :UInt32, offset :UInt64) -> (bytes :Data);
  report @5 (report :Data) -> (bulletin :Data);
  # Where members find each other by seeds: what a process tells of itself, and what it lacks, in CBOR. The call is
  # held until there is something new or the time that the report allows has passed.

  struct Document {
    scope @0 :Text;
    version @1 :UInt64;
    text @2 :Text;
  }
}
