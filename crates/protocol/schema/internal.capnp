@0xd6a1c0f8f1b7e3a5;
# Messages between the processes of the system. Compiled with `capnp compile -orust`; the result is committed.
# Ordinals stay: processes of two successive releases talk to each other.

struct Member {
  id @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
  controlAddress @3 :Text;
}

struct Membership {
  voters @0 :List(Member);
  outgoing @1 :List(Member);
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  payload :union {
    leaderStart @2 :Text;
    membership @3 :Membership;
    command @4 :Data;
  }
}

struct Snapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  membership @2 :Membership;
  leaders @3 :List(Text);
  data @4 :Data;
}

struct ReplicaMessage {
  from @0 :Member;
  term @1 :UInt64;
  union {
    voteRequest :group {
      pre @2 :Bool;
      handover @3 :Bool;
      lastIndex @4 :UInt64;
      lastTerm @5 :UInt64;
    }
    voteReply :group {
      pre @6 :Bool;
      granted @7 :Bool;
    }
    append :group {
      previousIndex @8 :UInt64;
      previousTerm @9 :UInt64;
      entries @10 :List(Entry);
      commit @11 :UInt64;
      sentAt @12 :UInt64;
    }
    appendReply :group {
      accepted @13 :Bool;
      index @14 :UInt64;
      sentAt @15 :UInt64;
    }
    # A complete snapshot in one message; sent by programs before snapshots were split into chunks.
    obsoleteInstallSnapshot :group {
      snapshot @16 :Snapshot;
      sentAt @17 :UInt64;
    }
    campaignNow @18 :Void;
    join @19 :Void;
    snapshotChunk :group {
      id @20 :SnapshotId;
      offset @21 :UInt64;
      bytes @22 :Data;
      sentAt @23 :UInt64;
    }
    snapshotReply :group {
      index @24 :UInt64;
      received @25 :UInt64;
      sentAt @26 :UInt64;
    }
    leave @27 :Void;
    leaveReply :group {
      waits @28 :Bool;
    }
  }
  # With campaignNow: nothing that the sender, or a leader before it, sent to model servers or the platform is still on
  # its way.
  callsSettled @29 :Bool;
}

struct SnapshotId {
  index @0 :UInt64;
  length @1 :UInt64;
  checksum @2 :UInt32;
}

enum Role {
  edge @0;
  core @1;
}

struct Hello {
  role @0 :Role;
  name @1 :Text;
  zone @2 :Text;
  incarnation @3 :UInt64;
  acceptsCompression @4 :Bool;
  # The sender is a core that takes requests for digests of its state, and reports.
  comparesStates @5 :Bool;
  # The newest format of commands of the replicated log that the sender, a core, decodes; 0: one without numbered formats.
  commandFormat @6 :UInt32;
}

# A leader asks for the digest of the replicated state after the entry of an index.
struct ComparisonRequest {
  term @0 :UInt64;
  number @1 :UInt64;
  index @2 :UInt64;
}

# A replica's digest: its first and second 64 bits.
struct ComparisonReport {
  store @0 :UInt64;
  request @1 :ComparisonRequest;
  format @2 :UInt32;
  digestHigh @3 :UInt64;
  digestLow @4 :UInt64;
}

struct LoadedModel {
  name @0 :Text;
  version @1 :UInt64;
  adapters @2 :List(Text);
}

enum ModelServerState {
  ready @0;
  draining @1;
  removed @2;
}

struct ModelServer {
  instance @0 :Text;
  backend @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  version @4 :Text;
  capacity @5 :UInt32;
  state @6 :ModelServerState;
  coldRemainingMs @7 :UInt64;
  remainingMs @8 :UInt64;
  models @9 :List(LoadedModel);
  sequence @10 :UInt64;
  busy @11 :Bool;
}

struct ModelServers {
  complete @0 :Bool;
  servers @1 :List(ModelServer);
}

struct Configuration {
  index @0 :UInt64;
  document @1 :Data;
  baseIndex @2 :UInt64;
}

struct Core {
  members @0 :List(Member);
  leader @1 :Text;
  edges @2 :UInt32;
  wallClockMs @3 :UInt64;
  zone @4 :Text;
  configurationIndex @5 :UInt64;
  current @6 :Bool;
}

struct TenantCount {
  tenant @0 :Text;
  count @1 :UInt64;
}

struct UsageWindow {
  window @0 :UInt64;
  counts @1 :List(TenantCount);
}

struct ModelDemand {
  backend @0 :Text;
  model @1 :Text;
  adapter @2 :Text;
  arrived @3 :UInt64;
  tokens @4 :UInt64;
  waiting @5 :UInt32;
  # Prefill time of the prompts that arrived, and slot time of the answers that ended, by the edge's estimates, milliseconds.
  prefillMs @6 :UInt64;
  slotTimeMs @7 :UInt64;
  # The shortest latency target among them, milliseconds; 0: none was given.
  objectiveMs @8 :UInt32;
}

# A model that a model server is loading.
struct ExpectedModel {
  backend @0 :Text;
  model @1 :Text;
  # Time until it should be resident, milliseconds.
  readyInMs @2 :UInt32;
}

struct ExpectedModelList {
  models @0 :List(ExpectedModel);
}

struct ModelServerLoad {
  instance @0 :Text;
  inFlight @1 :UInt32;
  # From an edge: requests that failed and that were answered there since the last report.
  failed @2 :UInt32;
  answered @3 :UInt32;
  # From the leader: the recent error rate over all edges, in thousandths.
  errorPermille @4 :UInt16;
}

struct EdgeReport {
  edge @0 :Text;
  incarnation @1 :UInt64;
  usage @2 :List(UsageWindow);
  demand @3 :List(ModelDemand);
  loads @4 :List(ModelServerLoad);
  # In the first report to a leader: the time that the demand covers, milliseconds; otherwise 0.
  demandSpanMs @5 :UInt64;
  # The configuration in force at the edge; index 0: none.
  configurationIndex @6 :UInt64;
  configurationVersion @7 :UInt64;
  # Time since it came into force there, milliseconds.
  configurationForMs @8 :UInt64;
}

struct Heartbeats {
  servers @0 :List(ModelServer);
}

struct Subscription {
  wanted @0 :Bool;
  knownIndex @1 :UInt64;
}

struct ModelServerLoads {
  loads @0 :List(ModelServerLoad);
}

# A candidate for a request, with its cost.
struct AdmissionOption {
  instance @0 :Text;
  # Estimated prefill time of the prompt there, milliseconds.
  prefillMs @1 :UInt32;
  # Other cost, as milliseconds until the first token.
  otherCostMs @2 :UInt32;
}

struct AdmissionRequest {
  request @0 :UInt64;
  options @1 :List(AdmissionOption);
  # Urgency class among the requests of the backend; 0: the most urgent.
  urgency @2 :UInt8;
}

struct AdmissionGrant {
  request @0 :UInt64;
  # The position of the chosen candidate in the request's options.
  option @1 :UInt32;
  # Time after which the prompt should arrive there, milliseconds.
  waitMs @2 :UInt32;
}

# Generations of a training step are queued at the leader: the edge may ask for so many.
struct DrawOffer {
  count @0 :UInt32;
}

# An edge asks for generations. requestedAt: its steady clock, milliseconds.
struct DrawRequest {
  requestedAt @0 :UInt64;
  count @1 :UInt32;
}

# Identifies a generation.
struct DrawId {
  step @0 :UInt64;
  epoch @1 :UInt64;
  prompt @2 :UInt64;
  instance @3 :Text;
  version @4 :UInt64;
}

struct DrawTask {
  id @0 :DrawId;
  address @1 :Text;
  model @2 :Text;
  path @3 :Text;
  body @4 :Text;
  inputTokens @5 :UInt64;
  outputTokens @6 :UInt64;
  prefix @7 :Text;
  # Time-out from its start, milliseconds.
  timeoutMs @8 :UInt64;
  # Tokens in one event of the answer.
  eventTokens @9 :UInt32;
}

struct DrawGrant {
  # requestedAt of the request.
  requestedAt @0 :UInt64;
  # A generation that has not started within this time of requestedAt must not start, milliseconds.
  startTimeoutMs @1 :UInt64;
  tasks @2 :List(DrawTask);
}

struct DrawResult {
  id @0 :DrawId;
  timeoutMs @1 :UInt64;
  union {
    complete :group {
      # The version that the answer's headers name; 0 with hasHeaderVersion false: none.
      headerVersion @2 :UInt64;
      hasHeaderVersion @3 :Bool;
      # Versions that events name, in order.
      eventVersions @4 :List(UInt64);
      tokens @5 :UInt64;
      text @6 :Text;
      truncated @7 :Bool;
    }
    # It did not run, or has ended, without a complete answer.
    over @8 :Void;
    # The worker may go on until the time-out.
    unknown @9 :Void;
  }
}

# Versions of a model in training.
struct ModelVersions {
  backend @0 :Text;
  model @1 :Text;
  # Of the step that is open; 0: none is.
  open @2 :UInt64;
  # Of the last step that was sealed; 0: none was.
  sealed @3 :UInt64;
}

struct ModelVersionList {
  models @0 :List(ModelVersions);
}

# A model, or one adapter of it, that a model server is about to unload.
struct WithheldModel {
  model @0 :Text;
  adapter @1 :Text;
}

# What the leader knows of a model server by the orders that it sent there.
struct OrderStatus {
  instance @0 :Text;
  withheld @1 :List(WithheldModel);
  # The model server itself reported its resident models, at the end of an order.
  reported @2 :Bool;
  models @3 :List(LoadedModel);
  busy @4 :Bool;
}

struct Frame {
  union {
    hello @0 :Hello;
    replica @1 :ReplicaMessage;
    core @2 :Core;
    configuration @3 :Configuration;
    modelServers @4 :ModelServers;
    report @5 :EdgeReport;
    heartbeats @6 :Heartbeats;
    ping @7 :UInt64;
    subscribe @8 :Subscription;
    fetchConfiguration @9 :Void;
    loads @10 :ModelServerLoads;
    admissionRequest @11 :AdmissionRequest;
    admissionGrant @12 :AdmissionGrant;
    drawOffer @13 :DrawOffer;
    drawRequest @14 :DrawRequest;
    drawGrant @15 :DrawGrant;
    drawResult @16 :DrawResult;
    modelVersions @17 :ModelVersionList;
    orderStatus @18 :OrderStatus;
    # The log entry of the configuration that the edge has; 0: none.
    fetchDifference @19 :UInt64;
    # The body of another frame, LZ4 with the length in front. Only to processes whose hello has acceptsCompression.
    compressed @20 :Data;
    expectedModels @21 :ExpectedModelList;
    # Both only to cores whose hello has comparesStates.
    comparisonRequest @22 :ComparisonRequest;
    comparisonReport @23 :ComparisonReport;
  }
}
