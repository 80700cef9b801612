/**
 * Settings, peer messages and job records of the gateway, which forwards
 * requests without interpreting their bodies, on a platform with a log store.
 *
 * `make generate` writes galenascale/generated/gateway_messages.py from this
 * file. Field numbers are never reused. A reader skips unknown fields.
 */

// --- Job records ------------------------------------------------------------

enum JobRecordKind {
  JOB = 1,
  CLAIM = 2,
  OUTCOMES = 3,
  PROGRESS = 4,
  ENDED = 5,
}

/** How an item ended. */
enum ItemState {
  COMPLETED = 1,
  GIVEN_UP = 2,
}

/** One record of a job partition; `body` is the encoded struct of `kind`. */
struct JobRecord {
  1: i32 schema_version = 1,
  2: i32 kind = 0,
  3: string job_id = "",
  4: binary body = "",
  /** Offset of the first record of the topic of bodies that holds the body. */
  5: i64 body_offset = 0,
  /** Number of those records; 0 if the body is in `body`. */
  6: i32 body_records = 0,
  /** Size of the body in them, in bytes. */
  7: i32 body_bytes = 0,
}

/** One item of a job, without its body. */
struct JobItem {
  1: string item_id = "",
  2: string path = "",
  3: map<string, string> headers,
  /** Length of the decoded body in bytes. */
  4: i32 body_bytes = 0,
  /** Index of the first record of the body among the job's body records. */
  5: i32 first_record = 0,
  /** Number of records that hold the body. */
  6: i32 records = 0,
  /** Sum of the prompt tokens and the largest number of output tokens. */
  7: i32 tokens = 0,
}

/** An accepted job; only the first record of a job id counts. */
struct Job {
  /** Wall time in milliseconds of the first submission that was stored. */
  1: i64 accepted_ms = 0,
  /** Host header of the submission; selects the route of each item. */
  2: string host = "",
  /** Request target (path and query) of the submission. */
  3: string path = "",
  4: list<JobItem> items,
  /** Offset of the first body record in the partition of the bodies topic. */
  5: i64 bodies_offset = 0,
  /** Host that runs the items until another claims the job. */
  6: string runner = "",
  /** Wall time in milliseconds of the start of that host's process. */
  7: i64 runner_started_ms = 0,
  /** Milliseconds after acceptance at which all results are due. */
  8: i64 due_ms = 0,
  /** Milliseconds after acceptance at which items may be given up. */
  9: i64 give_up_ms = 0,
  /** Version of the configuration in force at acceptance. */
  10: i64 config_version = 0,
  /** Name of the route that accepted the job. */
  11: string route = "",
  /** Name of the tenant that submitted the job; empty for an anonymous one. */
  12: string tenant = "",
}

/** A host takes over the unfinished items of a job. */
struct JobClaim {
  1: string runner = "",
  2: i64 runner_started_ms = 0,
}

/** How one item ended; only the first outcome of an item counts. */
struct ItemOutcome {
  1: i32 index = 0,
  2: i32 state = 0,
  /** Data of all events, joined by line feeds. */
  3: binary text = "",
}

struct JobOutcomes {
  1: list<ItemOutcome> outcomes,
}

/** Events of an unfinished item, after which another host can resume it. */
struct ItemProgress {
  1: i32 index = 0,
  2: i64 last_event_id = 0,
  3: binary text = "",
}

struct JobProgress {
  1: list<ItemProgress> items,
}

/** Effect of a record of a route's quota. */
enum QuotaRecordKind {
  /** Reserves the tokens of a job about to be stored, if the limit allows. */
  RESERVE = 1,
  /** Counts the tokens of a job stored while the route had no limit. */
  COUNT = 2,
  /** Reduces the tokens of a job to those of its unfinished items. */
  RELEASE = 3,
}

/** One record of the log of a route's quota. */
struct QuotaRecord {
  1: i32 schema_version = 1,
  2: i32 kind = 0,
  3: string job_id = "",
  /** Tokens of the job's items that have no outcome yet. */
  4: i64 tokens = 0,
  /** Most tokens of unfinished items on the route; 0 for no limit. */
  5: i64 limit = 0,
  /** Version of the configuration that sets the limit. */
  6: i64 config_version = 0,
  /** Wall time in milliseconds at which the record was created. */
  7: i64 written_ms = 0,
  /** Name of the route; routes may share a partition. */
  8: string route = "",
}

/** Requests with a part in their prompt are rejected by all hosts. */
struct BlockRecord {
  1: i32 schema_version = 1,
  /** Hash of the id of the part. */
  2: i32 part = 0,
  /** Wall time in milliseconds of the decision. */
  3: i64 decided_ms = 0,
  /** Wall time in milliseconds of the first crash that it follows from. */
  4: i64 evidence_from_ms = 0,
}

// --- Messages between hosts ---------------------------------------------------

/** Requests that a host has in flight at one backend server. */
struct ServerInFlight {
  /** Hash of the server's id. */
  1: i32 server_key = 0,
  2: i32 online = 0,
  3: i32 batch = 0,
}

/** A run that ended with the crash of its server before its answer began. */
struct CrashedRun {
  /** Key of the run of the server. */
  1: i32 server = 0,
  /** Hash of the content of the request. */
  2: i32 content = 0,
  /** Hashes of the ids of the prompt's parts that other requests may share. */
  3: list<i32> parts,
  4: i32 age_ms = 0,
}

/** The last time at which an answer to a prompt with a part began. */
struct PartStart {
  1: i32 part = 0,
  2: i32 age_ms = 0,
}

/** Requests with a part in their prompt are rejected. */
struct PartBlock {
  1: i32 part = 0,
  2: i32 age_ms = 0,
  /** Age of the first crash that it follows from; an answer that began later
   * acquits the part. */
  3: i32 evidence_age_ms = 0,
}

/** What an answer of a backend server said of the requests that it takes. */
struct ServerLimitReport {
  /** Key of the run of the server. */
  1: i32 run = 0,
  /** Thousandths of a request per second from all hosts together; -1 if the
   * server ceased to name a limit. */
  2: i32 millirequests_per_s = 0,
  3: i32 age_ms = 0,
}

/** State that a host sends to all other hosts in datagrams. */
struct HostStatus {
  1: i32 schema_version = 1,
  2: string host_id = "",
  /** Wall time in milliseconds of the start of the host's process. */
  3: i64 started_ms = 0,
  /** Sequence number; older messages that arrive late are dropped. */
  4: i64 sequence = 0,
  5: i64 config_version = 0,
  /** The host is stopping and hands over its jobs. */
  6: bool leaving = 0,
  7: list<ServerInFlight> in_flight,
  /** The store responds to this host. */
  8: bool store_up = 0,
  /* 9 was the number of items waiting for a slot. */
  10: string failure_domain = "",
  /** IP address of the host. */
  11: string address = "",
  /** Hashes of the ids of the jobs that the host runs, of one shard of them. */
  12: list<i32> active_jobs,
  /** Content hashes of recently rejected requests. */
  13: list<i32> refused,
  /** Content hashes of requests that ran on a server when it crashed. */
  14: list<i32> crashed,
  /** Keys of the incarnations of backend servers that announced leaving. */
  15: list<i32> leaving_servers,
  /** Recent runs that this host saw end in a crash. */
  16: list<CrashedRun> crashed_runs,
  /** Parts under suspicion whose answers began at this host. */
  17: list<PartStart> started_parts,
  /** Parts that this host blocks, by its own decision or that of others. */
  18: list<PartBlock> blocked_parts,
  /** Limits that servers named to this host lately, and ends of limits. */
  19: list<ServerLimitReport> server_limits,
  /** Shard of the jobs that active_jobs lists: the hashes that leave this number
   * when divided by the number of shards. */
  20: i32 job_shard = 0,
  21: i32 job_shards = 1,
}

/** Kinds of messages between hosts about slots of backend servers. */
enum SlotMessageKind {
  /** To a pool's owner: a request or an item needs a slot. */
  ASK = 1,
  /** To a pool's owner: a request or an item holds a slot. */
  HOLD = 2,
  /** To a pool's owner: a run ended or an ASK was withdrawn. */
  ENDED = 3,
  /** From an owner: the run may start on a server. */
  GRANT = 4,
  /** From an owner: the ASK is queued. */
  QUEUED = 5,
  /** From an owner: the ASK is rejected, as it would wait too long. */
  REFUSED = 6,
  /** From an owner: it knows no server of the pool. */
  UNKNOWN_POOL = 7,
  /** From an owner: a batch item must be preempted for a request. */
  MAKE_ROOM = 8,
  /** From an owner to the owner of another pool: its free slots. */
  SPARE = 9,
}

/** How a run of a request or an item ended, as reported to the slot owner. */
enum SlotOutcome {
  /** The run says nothing about the server. */
  UNUSED = 0,
  SERVED = 1,
  FAILED = 2,
  /** The server rejected the run for lack of capacity. */
  REFUSED = 3,
  UNREACHABLE = 4,
  /** Another server has its address. */
  GONE = 5,
}

/** Slots that a tenant holds in a pool. */
struct TenantSlots {
  /** Hash of the name of the tenant. */
  1: i32 tenant = 0,
  2: i32 slots = 0,
}

struct SlotMessage {
  1: i32 kind = 0,
  /** Hash of the pool's name. */
  2: i32 pool = 0,
  /** IP address of the host of the run; empty if it is the sender. */
  3: string host = "",
  /** Number of the run, unique on its host. */
  4: i64 run = 0,
  /** Hash of the id of a backend server; 0 for none. */
  5: i32 server = 0,
  6: bool batch = 0,
  /** ASK, HOLD: milliseconds left to start in time, negative if late.
   * QUEUED, REFUSED: estimated milliseconds that the ASK will wait.
   * SPARE: the same for one more ASK, if millistarts_per_s is stated. */
  7: i32 wait_ms = 0,
  /** ASK: hashes of the ids of servers to avoid. */
  8: list<i32> avoid,
  /** ASK: the caller retries a request that was rejected before. */
  9: bool returned = 0,
  /** ASK: the owner may reject it. */
  10: bool refusable = 0,
  /** ASK: it was forwarded by the owner of another pool. */
  11: bool forwarded = 0,
  /** ENDED: a SlotOutcome. */
  12: i32 outcome = 0,
  /** SPARE: slots free for requests, how many of these are free for items, and
   * slots of items that can be preempted. */
  13: i32 free = 0,
  14: i32 free_for_batch = 0,
  15: i32 batch_runs = 0,
  /** SPARE: hash of the name of the pool with the free slots. */
  16: i32 from_pool = 0,
  /** To an owner: the regular owner of the pool does not respond. */
  17: bool stand_in = 0,
  /** To an owner: it was forwarded by a host that does not own the pool. */
  18: bool redirected = 0,
  /** GRANT: the server named a limit, which the run was counted against.
   * REFUSED: the limits of all servers are the reason. */
  19: bool paced = 0,
  /** ASK: milliseconds until the host stops waiting; 0 if not stated. */
  20: i32 give_up_ms = 0,
  /** SPARE: thousandths of requests that start in the pool each second; 0 if
   * unknown. */
  21: i32 millistarts_per_s = 0,
  /** ASK, HOLD: hash of the name of the tenant; 0 if there are no tenants. */
  22: i32 tenant = 0,
  /** REFUSED: the tenant uses more than its share of the slots. */
  23: bool beyond_share = 0,
  /** SPARE: the tenants that hold most slots for requests in the pool. */
  24: list<TenantSlots> tenants,
  /** ASK: tokens that the run is to generate; 0 if unknown. */
  25: i32 tokens = 0,
  /** ASK, HOLD: tokens of an engine's memory that the run may need; 0 if
   * unknown. */
  26: i32 memory_tokens = 0,
  /** SPARE: monotonic time in microseconds at which it was sent, and the last
   * one received from the owner to which it goes, plus the time since. */
  27: i64 stamp_us = 0,
  28: i64 echo_us = 0,
}

/** Kinds of messages between hosts about the request rates of tenants. */
enum RateMessageKind {
  /** To the owner of a tenant's rate: a request wants to run. */
  ASK = 1,
  /** From an owner: whether the request may run. */
  ANSWER = 2,
  /** To the owner in another failure domain: tokens are needed there. */
  BORROW = 3,
  /** From an owner: tokens for the receiver, which the sender gave up. */
  LEND = 4,
}

struct RateMessage {
  1: i32 kind = 0,
  2: string tenant = "",
  /** ASK, ANSWER: number of the request, unique on its host. BORROW, LEND:
   * number of the loan, 0 for tokens that nobody asked for. */
  3: i64 number = 0,
  /** BORROW: thousandths of tokens that are needed; LEND: those given. */
  4: i32 millitokens = 0,
  /** ANSWER: milliseconds until a token is expected; 0 if the request runs. */
  5: i32 wait_ms = 0,
  /** IP address of the host of the request; empty if it is the sender. */
  6: string host = "",
  /** ASK: the regular owner does not respond. */
  7: bool stand_in = 0,
  /** ASK: it was forwarded by a host that does not own the rate. */
  8: bool redirected = 0,
}

/** One datagram: states of hosts, the sender's own or relayed, and messages
 * about slots. */
struct StatusBatch {
  1: list<HostStatus> statuses,
  2: list<SlotMessage> slots,
  3: list<RateMessage> rates,
}

/** One record of a keyed topic of the store; empty value for a removed key. */
struct StoredEntry {
  1: string key = "",
  2: i64 offset = 0,
  3: binary value = "",
}

/** State that a host sends to one to which the store does not respond. */
struct RelayedState {
  1: i32 schema_version = 1,
  /** The operator's configuration record, as stored. */
  2: binary configuration = "",
  /** Latest entry of each backend server ever seen. */
  3: list<StoredEntry> servers,
  /** Offset up to which the entries were read. */
  4: i64 servers_position = 0,
  /** Version of the configuration; the record itself is left out if the asking
   * host has this version. */
  5: i64 config_version = 0,
  /** Age in milliseconds of the proof that no newer configuration existed, at
   * the time of this answer; -1 for none. */
  6: i64 config_proof_age_ms = -1,
}

/** Outcome of a call of the store. */
enum StoreOutcome {
  DONE = 1,
  /** The call was not applied. */
  NOT_DONE = 2,
  UNKNOWN = 3,
  /** The partition did not end at the expected offset. */
  OVERTAKEN = 4,
  /** The requested records are deleted. */
  TRIMMED = 5,
  /** The store never applies this call. */
  REFUSED = 6,
}

/** A call of the store that one host makes through another. */
struct StoreCall {
  1: i32 schema_version = 1,
  2: string topic = "",
  3: i32 partition = 0,
  /** Records to append; none for a read. */
  4: list<binary> records,
  /** Offset at which the partition must end for an append, or -1. */
  5: i64 append_at = -1,
  /** Offset of the first record to read. */
  6: i64 read_from = 0,
  /** Longest time in milliseconds that a read waits for a record. */
  7: i32 wait_ms = 0,
  /** Largest size of a read in KB. */
  8: i32 max_kb = 1024,
}

/** Result of a StoreCall. */
struct StoreAnswer {
  1: i32 schema_version = 1,
  2: i32 outcome = 0,
  3: string reason = "",
  /** Offset of the first appended record. */
  4: i64 offset = 0,
  /** Records read, starting at the requested offset. */
  5: list<binary> records,
  6: i64 first_offset = 0,
  7: i64 next_offset = 0,
}

// --- Settings ---------------------------------------------------------------

/** The platform's store. */
struct StoreSettings {
  /** IP address and port. */
  1: string address = "",
  /** Partitions of each topic. */
  2: i32 partitions = 24,
  /** Largest record in bytes. */
  3: i32 record_bytes = 262144,
  /** Largest total size of the records of one append in bytes. */
  4: i32 call_bytes = 2097152,
  /** Seconds for which records are kept. */
  5: double retention_s = 300.0,
  /** Shortest lease of a group member in milliseconds. */
  6: i32 min_lease_ms = 1000,
}

/** Time limits set by the operator. */
struct LimitsInTime {
  /** Milliseconds after which a leaving server must get no new requests. */
  1: i32 drain_ms = 2000,
  /** Seconds from SIGTERM to SIGKILL. */
  2: double stop_grace_s = 8.0,
  /** Milliseconds within which a new configuration must be in force. */
  3: i32 config_apply_ms = 2000,
  /** Seconds for which the results of a job must be readable. */
  4: double job_retention_s = 120.0,
  /** Milliseconds within which the runs of an ended job must stop. */
  5: i32 cancel_ms = 3000,
  /** Milliseconds after which no request may run with a key that was taken
   * away, whatever the host can reach; 0 for no bound. */
  6: i32 revoke_ms = 0,
  /** Seconds of the window in which the requests of a tenant are limited. */
  7: double quota_window_s = 5.0,
  /** Share by which the requests of a window may exceed its limit. */
  8: double quota_overshoot = 0.1,
  /** Requests by which a window may exceed its limit besides. */
  9: double quota_slack = 20.0,
}

/** Settings of one gateway host. */
struct GatewaySettings {
  /** Version of the settings format. */
  1: i32 schema_version = 1,
  /** Unique name of the host; required. */
  2: string host_id = "",
  /** Failure domain of the host; required. */
  3: string failure_domain = "",
  /** IP address and port for callers; required. */
  4: string caller_listen = "",
  /** IP address and port of the readiness check; required. */
  5: string ready_listen = "",
  /** IP address and port for calls from other hosts; required. */
  6: string peer_listen = "",
  /** UDP port for messages from other hosts, the same on all hosts. */
  7: i32 peer_datagram_port = 0,
  /** Port of the metrics endpoint on the host's address; 0 for none. */
  8: i32 metrics_port = 0,
  /** Peer addresses of some hosts; may be outdated. */
  9: list<string> seeds,
  10: StoreSettings store,
  11: LimitsInTime bounds,
  /** Minimum level of log lines. */
  12: string log_level = "info",
  /** Largest response without a stated length in bytes, and largest response
      that is buffered whole, so that the request can be retried on another
      server if it is cut off. */
  13: i32 held_answer_bytes = 262144,
  /** Failure domains of all hosts; those that a host has not heard of count in
   * the division of quotas. */
  14: list<string> failure_domains,
  /** Weights of tenants, by name, in the division of slots while there are too
   * few; 1 for those that are not named. */
  15: map<string, double> tenant_weights,
  /** Prefer backend servers whose runs take less time than those of others. */
  16: bool server_speeds = 1,
  /** Pass requests that wait in a failure domain on to one in which they wait
   * less. */
  17: bool leave_domain = 1,
  /** Memory of the host in megabytes; 0 if unknown. */
  18: i32 host_memory_mb = 0,
  /** Memory for all that callers make the host hold, in megabytes; 0 for a
   * part of the host's. */
  19: i32 caller_memory_mb = 0,
  /** Descriptors that the host may open; 0 for the limit of the process. */
  20: i32 host_descriptors = 0,
  /** Connections of callers at once; 0 for as many as descriptors and memory
   * bear. */
  21: i32 max_caller_connections = 0,
}
