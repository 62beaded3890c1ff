@0xd2f04b6a97c1e835;
# Calls that operators make, by the tool or by programs of their own. Described in docs/operators/.

struct Change {
  scope @0 :Text;             # a partner's name, or "shared" for what both partners use
  text @1 :Text;              # the declarations in YAML, as kept in version control
  expectedVersion @2 :UInt64;
  changeId @3 :Text;          # a resend with the same id returns the first result
}

struct ApplyResult {
  union {
    accepted :group {
      version @0 :UInt64;
      revision @1 :UInt64;
    }
    conflict :group {
      currentVersion @2 :UInt64;
      difference @3 :Text;
    }
    invalid @4 :Text;
    unavailable @5 :Text;     # the change was not accepted
    unknown @6 :Text;         # resend with the same change id
  }
}

struct NodeStatus {
  node @0 :UInt64;
  vm @1 :Text;
  failureDomain @2 :Text;
  region @3 :Text;
  state @4 :Text;
  revision @5 :UInt64;
  callerAddress @6 :Text;
}

struct GroupStatus {
  group @0 :UInt32;
  leader @1 :UInt64;
  term @2 :UInt64;
  commit @3 :UInt64;
  replicas @4 :List(UInt64);
}

struct ProgramStatus {
  program @0 :Text;
  partner @1 :Text;
  team @2 :Text;
  class @3 :Text;
  calls @4 :UInt32;
  state @5 :Text;
  spent @6 :UInt64;
  budget @7 :UInt64;
}

struct BackendStatus {
  name @0 :Text;
  kind @1 :Text;
  address @2 :Text;
  state @3 :Text;
  running @4 :UInt32;
  waiting @5 :UInt32;
}

struct Document {
  scope @0 :Text;
  version @1 :UInt64;
  text @2 :Text;
}

struct Failure {
  # Why a call other than apply did nothing, told by kind so that tools need not read the text.
  union {
    none @0 :Void;
    invalid @1 :Text;
    unavailable @2 :Text;     # nothing was changed
    unknown @3 :Text;         # the change may yet be applied
  }
}

enum ReplicaChange {
  addLearner @0;              # receives the log but does not count yet
  promote @1;                 # refused while the learner lags
  remove @2;
}

interface Operator {
  apply @0 (change :Change) -> (result :ApplyResult);
  plan @1 (scope :Text, text :Text) -> (currentVersion :UInt64, difference :Text, invalid :Text);
  status @2 () -> (node :UInt64, revision :UInt64, takingWork :Bool, reason :Text, nodes :List(NodeStatus), groups :List(GroupStatus));
  programs @3 (partner :Text, limit :UInt32) -> (programs :List(ProgramStatus), failure :Failure);
  backends @4 () -> (backends :List(BackendStatus));
  drain @5 (name :Text) -> (incarnation :UInt64, failure :Failure);
  config @6 () -> (revision :UInt64, documents :List(Document));
  trace @7 (limit :UInt32) -> (lines :List(Text));
  resolve @8 (program :Text, call :UInt32, ran :Bool, note :Text) -> (failure :Failure);
  replicas @9 (group :UInt32, node :UInt64, change :ReplicaChange) -> (failure :Failure);
}
