/**
 * Settings, peer messages and job records of the gateway, which serves opaque
 * requests on a platform with a log store.
 *
 * `make generate` turns it into galenascale/generated/gateway_messages.py. Field
 * numbers are never reused. A reader skips fields that it does not know.
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

/** One record of a job partition; `body` is the encoded struct of its kind. */
struct JobRecord {
  1: i32 schema_version = 1,
  2: i32 kind = 0,
  3: string job_id = "",
  4: binary body = "",
}

/** One item of a job, without its body. */
struct JobItem {
  1: string item_id = "",
  2: string path = "",
  3: map<string, string> headers,
  /** Length of the decoded body in bytes. */
  4: i32 body_bytes = 0,
  /** Place of the first record of the body after the job's first one. */
  5: i32 first_record = 0,
  /** Number of records that hold the body. */
  6: i32 records = 0,
  /** Tokens of the prompt and of the longest output, summed. */
  7: i32 tokens = 0,
}

/** An accepted job; the first record of an id is valid. */
struct Job {
  /** Wall time in milliseconds of the first submission that was stored. */
  1: i64 accepted_ms = 0,
  /** Host header of the submission; selects the route of each item. */
  2: string host = "",
  /** Target of the submission. */
  3: string path = "",
  4: list<JobItem> items,
  /** Offset of the first body record in the partition of the bodies topic. */
  5: i64 bodies_offset = 0,
  /** Host that runs the items until another claims the job. */
  6: string runner = "",
  /** Start of that host's process in milliseconds. */
  7: i64 runner_started_ms = 0,
  /** Milliseconds after acceptance at which all results are due. */
  8: i64 due_ms = 0,
  /** Milliseconds after acceptance at which items may be given up. */
  9: i64 give_up_ms = 0,
  /** Version of the configuration in force at acceptance. */
  10: i64 config_version = 0,
  /** Name of the route that accepted the job. */
  11: string route = "",
}

/** A host takes over the items of a job. */
struct JobClaim {
  1: string runner = "",
  2: i64 runner_started_ms = 0,
}

/** How one item ended; the first outcome of an item is valid. */
struct ItemOutcome {
  1: i32 index = 0,
  2: i32 state = 0,
  /** Data of all events, separated by line feeds. */
  3: binary text = "",
}

struct JobOutcomes {
  1: list<ItemOutcome> outcomes,
}

/** Events of an unfinished item, from which another host goes on. */
struct ItemProgress {
  1: i32 index = 0,
  2: i64 last_event_id = 0,
  3: binary text = "",
}

struct JobProgress {
  1: list<ItemProgress> items,
}

/** What a record of a route's quota does. */
enum QuotaRecordKind {
  /** Takes tokens for a job that is about to be stored, if they fit. */
  RESERVE = 1,
  /** Counts a job that was stored while the route had no limit. */
  COUNT = 2,
  /** Lowers the tokens of a job to those of its open items. */
  RELEASE = 3,
}

/** One record of the log of a route's quota. */
struct QuotaRecord {
  1: i32 schema_version = 1,
  2: i32 kind = 0,
  3: string job_id = "",
  /** Tokens of the job's items without an outcome. */
  4: i64 tokens = 0,
  /** Tokens that may be open on the route; 0 for no limit. */
  5: i64 limit = 0,
  /** Version of the configuration that states the limit. */
  6: i64 config_version = 0,
  /** Wall time in milliseconds at which the record was made. */
  7: i64 written_ms = 0,
  /** Name of the route; routes may share a partition. */
  8: string route = "",
}

// --- Messages between hosts ---------------------------------------------------

/** Requests that a host has in flight at one backend server. */
struct ServerInFlight {
  /** Hash of the server's id. */
  1: i32 server_key = 0,
  2: i32 online = 0,
  3: i32 batch = 0,
}

/** What a host tells all others in a datagram. */
struct HostStatus {
  1: i32 schema_version = 1,
  2: string host_id = "",
  /** Wall time in milliseconds of the start of the host's process. */
  3: i64 started_ms = 0,
  /** Number of the message; older ones that arrive late are dropped. */
  4: i64 sequence = 0,
  5: i64 config_version = 0,
  /** The host is stopping and gives its jobs away. */
  6: bool leaving = 0,
  7: list<ServerInFlight> in_flight,
  /** The store answers this host. */
  8: bool store_up = 0,
  /* 9 was the number of items that wait for a slot. */
  10: string failure_domain = "",
  /** IP address of the host. */
  11: string address = "",
  /** Hashes of the ids of the jobs that the host runs. */
  12: list<i32> active_jobs,
  /** Hashes of the contents of requests that were refused lately. */
  13: list<i32> refused,
  /** Hashes of the contents that ran on servers when they crashed. */
  14: list<i32> crashed,
  /** Keys of the runs of backend servers that say that they leave. */
  15: list<i32> leaving_servers,
}

/** What a host tells another one about slots of backend servers. */
enum SlotMessageKind {
  /** To a pool's owner: a request or an item wants a slot. */
  ASK = 1,
  /** To a pool's owner: a request or an item holds a slot. */
  HOLD = 2,
  /** To a pool's owner: a run or an ask is over. */
  ENDED = 3,
  /** From an owner: the run may go to a server. */
  GRANT = 4,
  /** From an owner: the ask waits. */
  QUEUED = 5,
  /** From an owner: the ask would wait for too long. */
  REFUSED = 6,
  /** From an owner: it knows no server of the pool. */
  UNKNOWN_POOL = 7,
  /** From an owner: an item is to make room for a request. */
  MAKE_ROOM = 8,
  /** From an owner to the owner of another pool: its free slots. */
  SPARE = 9,
}

/** How the run of a request or an item ended, for the owner of its slot. */
enum SlotOutcome {
  /** Nothing is known of the server. */
  UNUSED = 0,
  SERVED = 1,
  FAILED = 2,
  /** The server had no room for it. */
  REFUSED = 3,
  UNREACHABLE = 4,
}

struct SlotMessage {
  1: i32 kind = 0,
  /** Hash of the pool's name. */
  2: i32 pool = 0,
  /** IP address of the host that has the run; empty if it is the sender. */
  3: string host = "",
  /** Number of the run, unique among those of its host. */
  4: i64 run = 0,
  /** Hash of the id of a backend server; 0 for none. */
  5: i32 server = 0,
  6: bool batch = 0,
  /** ASK, HOLD: milliseconds in which a start is in time, below 0 if late.
   * QUEUED, REFUSED: milliseconds that the ask will probably wait. */
  7: i32 wait_ms = 0,
  /** ASK: hashes of the ids of servers that are not wanted. */
  8: list<i32> avoid,
  /** ASK: the request was refused before and came back. */
  9: bool returned = 0,
  /** ASK: it may be refused. */
  10: bool refusable = 0,
  /** ASK: the owner of another pool passed it on. */
  11: bool forwarded = 0,
  /** ENDED: a SlotOutcome. */
  12: i32 outcome = 0,
  /** SPARE: slots that are free for requests, and of these for items, and
   * those of items that would make room. */
  13: i32 free = 0,
  14: i32 free_for_batch = 0,
  15: i32 batch_runs = 0,
  /** SPARE: hash of the name of the pool that tells. */
  16: i32 from_pool = 0,
  /** To an owner: the host that should own the pool gives no answer. */
  17: bool stand_in = 0,
  /** To an owner: a host that does not own the pool passed it on. */
  18: bool redirected = 0,
}

/** One datagram: the states of some hosts, the sender's or relayed ones, and
 * what concerns slots. */
struct StatusBatch {
  1: list<HostStatus> statuses,
  2: list<SlotMessage> slots,
}

/** One record of a keyed topic of the store; no value for a dropped key. */
struct StoredEntry {
  1: string key = "",
  2: i64 offset = 0,
  3: binary value = "",
}

/** What a host tells another one that the store does not answer. */
struct RelayedState {
  1: i32 schema_version = 1,
  /** The operator's configuration as it stands in the store. */
  2: binary configuration = "",
  /** Newest entry of each backend server that was ever seen. */
  3: list<StoredEntry> servers,
  /** Offset up to which the entries were read. */
  4: i64 servers_position = 0,
}

/** How a call of the store ended. */
enum StoreOutcome {
  DONE = 1,
  /** Surely nothing was done. */
  NOT_DONE = 2,
  UNKNOWN = 3,
  /** The partition did not end where the append was to go. */
  OVERTAKEN = 4,
  /** The records that were asked for are deleted. */
  TRIMMED = 5,
}

/** A call of the store that one host asks of another. */
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
  /** Milliseconds for which a read waits for a record. */
  7: i32 wait_ms = 0,
  /** Largest size of a read in KB. */
  8: i32 max_kb = 1024,
}

/** How a StoreCall ended at the store. */
struct StoreAnswer {
  1: i32 schema_version = 1,
  2: i32 outcome = 0,
  3: string reason = "",
  /** Offset of the first appended record. */
  4: i64 offset = 0,
  /** Records that were read, from the offset that was asked for on. */
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
  /** Largest sum of the records of one append in bytes. */
  4: i32 call_bytes = 2097152,
  /** Seconds for which records are kept. */
  5: double retention_s = 300.0,
  /** Shortest lease of a group member in milliseconds. */
  6: i32 min_lease_ms = 1000,
}

/** Time limits that the operator sets. */
struct LimitsInTime {
  /** Milliseconds after which a leaving server must get no new request. */
  1: i32 drain_ms = 2000,
  /** Seconds from SIGTERM to SIGKILL. */
  2: double stop_grace_s = 8.0,
  /** Milliseconds in which a configuration must be in force. */
  3: i32 config_apply_ms = 2000,
  /** Seconds for which the results of a job must be readable. */
  4: double job_retention_s = 120.0,
  /** Milliseconds in which the runs of an ended job must stop. */
  5: i32 cancel_ms = 3000,
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
  /** IP address and port for calls of other hosts; required. */
  6: string peer_listen = "",
  /** UDP port for messages of other hosts, the same on all hosts. */
  7: i32 peer_datagram_port = 0,
  /** Port of the metrics on the host's address; 0 for none. */
  8: i32 metrics_port = 0,
  /** Peer addresses of some hosts, possibly out of date. */
  9: list<string> seeds,
  10: StoreSettings store,
  11: LimitsInTime bounds,
  /** Lowest level of log lines. */
  12: string log_level = "info",
  /** Largest answer without a stated length, in bytes, and the largest one that
      is held whole, so that another server can replace it if it breaks off. */
  13: i32 held_answer_bytes = 262144,
}
