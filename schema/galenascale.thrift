/**
 * The schema of galenascale: log records, peer messages and settings.
 *
 * `make generate` turns it into galenascale/generated/messages.py. Field numbers
 * are never reused. A reader skips fields that it does not know; records are
 * carried forward as raw bytes, so such fields survive.
 */

// --- Log records -----------------------------------------------------------

enum RecordKind {
  FILE_CREATED = 1,
  FILE_DELETED = 2,
  JOB_CREATED = 3,
  JOB_CANCELLED = 4,
  TIME_MARK = 5,
  CHUNK_CLAIM = 6,
  CHUNK_RELEASE = 7,
  OUTCOMES = 8,
  ITEM_INTENT = 9,
  CALL_INTENT = 10,
  CALL_OUTCOME = 11,
  SERVER_CLAIM = 12,
  SERVER_ORDER = 13,
  POISON_VERDICT = 14,
  SNAPSHOT_PART = 15,
  CARRIED = 16,
  CONFIG_CHANGE = 17,
  DATA_CHUNK = 18,
  SERVER_RELEASE = 19,
}

/** How the run of an item or a call ended. */
enum OutcomeStatus {
  SUCCEEDED = 1,
  FAILED = 2,
  MAY_HAVE_RUN = 3,
  NOT_RUN = 4,
  EXPIRED = 5,
}

/** One record; `body` is the encoded struct that `kind` names. */
struct LogRecord {
  1: string record_id = "",
  2: i32 kind = 0,
  /** Readers act on records whose schema version they know. */
  3: i32 schema_version = 1,
  4: binary body = "",
}

/** What one append to a stream holds. */
struct LogBatch {
  1: i32 schema_version = 1,
  2: string writer = "",
  3: string incarnation = "",
  4: list<LogRecord> records,
}

/** Position of a record body in the log. */
struct Position {
  1: string stream = "",
  2: i64 offset = -1,
  /** Index of the record in its LogBatch. */
  3: i32 index = 0,
}

/** A run of consecutive input lines kept in one DATA_CHUNK record. */
struct ChunkRef {
  1: Position position,
  2: i64 first_item = 0,
  3: i32 item_count = 0,
  4: i64 size_bytes = 0,
}

struct DataChunk {
  1: string file_id = "",
  2: i32 chunk = 0,
  3: binary content = "",
}

struct FileCreated {
  1: string file_id = "",
  2: string tenant = "",
  3: string filename = "",
  4: string purpose = "",
  5: i64 size_bytes = 0,
  6: string digest = "",
  7: list<ChunkRef> chunks,
  8: i64 created_ms = 0,
  9: i64 expires_ms = 0,
  /** What the lines of a batch file name. */
  10: list<string> models,
  11: list<string> endpoints,
  12: i64 item_count = 0,
}

struct FileDeleted {
  1: string file_id = "",
  2: string tenant = "",
}

struct JobCreated {
  1: string job_id = "",
  2: string tenant = "",
  /** Digest of the Idempotency-Key; empty when the caller sent none. */
  3: string key_digest = "",
  4: string body_digest = "",
  5: string endpoint = "",
  6: string service_name = "",
  7: string model = "",
  8: string input_file_id = "",
  9: list<ChunkRef> chunks,
  10: i64 item_count = 0,
  11: bool idempotent = true,
  12: i64 created_ms = 0,
  13: i64 due_ms = 0,
  14: i64 expires_ms = 0,
  /** Caller's metadata as a JSON object. */
  15: string metadata_json = "",
  16: string completion_window = "",
}

struct JobCancelled {
  1: string job_id = "",
  2: string tenant = "",
  3: i64 at_ms = 0,
}

/**
 * Wall time as seen by a shard owner. The fold reads no clock: due times and
 * expiry times take effect when a mark passes them.
 */
struct TimeMark {
  1: i64 at_ms = 0,
}

struct ChunkClaim {
  1: string job_id = "",
  2: i32 chunk = 0,
  3: string holder = "",
  4: string incarnation = "",
  5: i64 lease_ms = 0,
  /** Offset of the lapsed claim that this one replaces; -1 for none. */
  6: i64 supersedes = -1,
}

struct ChunkRelease {
  1: string job_id = "",
  2: i32 chunk = 0,
  3: i64 claim_offset = -1,
}

struct ItemOutcome {
  /** Index of the item in its job. */
  1: i64 item = 0,
  2: i32 status = 0,
  3: i32 http_status = 0,
  4: binary body = "",
  5: i32 attempts = 0,
  6: string error_code = "",
}

struct Outcomes {
  1: string job_id = "",
  2: i32 chunk = 0,
  3: i64 claim_offset = -1,
  4: list<ItemOutcome> outcomes,
  5: i64 at_ms = 0,
}

struct ItemIntent {
  1: string job_id = "",
  2: i32 chunk = 0,
  3: i64 claim_offset = -1,
  4: list<i64> items,
}

struct CallIntent {
  1: string call_id = "",
  2: string tenant = "",
  3: string service_name = "",
  4: string request_digest = "",
  5: string holder = "",
  6: string incarnation = "",
  7: i64 created_ms = 0,
  8: i64 expires_ms = 0,
  /** Names this intent among all of the call. */
  9: string intent_id = "",
}

struct CallOutcome {
  1: string call_id = "",
  2: i64 intent_offset = -1,
  3: i32 status = 0,
  4: i32 http_status = 0,
  5: string content_type = "",
  6: binary body = "",
}

/** Lease on a backend server for orders; its offset is the fencing number. */
struct ServerClaim {
  1: string server_id = "",
  2: string holder = "",
  3: string incarnation = "",
  4: i64 lease_ms = 0,
  5: i64 supersedes = -1,
  /** Offset of the first claim of a lease that this one renews; -1 if new. */
  6: i64 first_offset = -1,
}

struct ServerRelease {
  1: string server_id = "",
  2: i64 claim_offset = -1,
}

struct ServerOrder {
  1: string server_id = "",
  2: i64 claim_offset = -1,
  3: string action = "",
  4: string target = "",
}

struct PoisonVerdict {
  1: string fingerprint = "",
  2: string service_name = "",
  3: list<string> crashed_servers,
  4: i64 created_ms = 0,
  5: i64 expires_ms = 0,
  /** True when the request is refused from now on; false for a suspect. */
  6: bool contained = false,
}

struct SnapshotPart {
  1: string snapshot_id = "",
  2: i32 part = 0,
  3: i32 part_count = 0,
  /** Offset of the last record that the state covers. */
  4: i64 through_offset = -1,
  5: binary content = "",
}

/**
 * A copy of a body at a new position; readers use the newest position. Bodies of
 * outcomes are in this record; input chunks are appended to their data stream
 * first and only named here.
 */
struct Carried {
  1: Position original,
  2: i32 kind = 0,
  3: i32 schema_version = 1,
  4: binary body = "",
  /** Where an input chunk is now; unused when `body` holds the copy. */
  5: Position current,
  /** Job, file or call that the body belongs to. */
  6: string entity_id = "",
}

// --- Ledger snapshots ------------------------------------------------------

struct ClaimState {
  1: i32 chunk = 0,
  /** Raw body of CHUNK_CLAIM. */
  2: binary claim = "",
  3: i64 offset = -1,
}

struct IntentState {
  1: i64 item = 0,
  2: i64 claim_offset = -1,
}

struct JobState {
  /** Raw body of JOB_CREATED, so that unknown fields survive. */
  1: binary created = "",
  2: i64 offset = -1,
  3: bool cancelled = false,
  4: bool due_passed = false,
  5: i64 ended_ms = 0,
  6: list<ClaimState> claims,
  7: list<IntentState> intents,
  /** Positions of the OUTCOMES records that hold a first outcome. */
  8: list<Position> outcome_positions,
  /** One status byte an item, 0 while it has no outcome. */
  9: binary statuses = "",
  /** For each item the index in outcome_positions, 32-bit little endian. */
  10: binary winners = "",
  /** Current positions of the input chunks. */
  11: list<Position> chunk_positions,
}

struct CallState {
  1: binary intent = "",
  2: i64 offset = -1,
  3: i32 status = 0,
  4: Position outcome_position,
}

struct FileState {
  1: binary created = "",
  2: i64 offset = -1,
  /** Current positions of the chunks. */
  3: list<Position> chunk_positions,
}

struct ServerLeaseState {
  /** Raw body of SERVER_CLAIM. */
  1: binary claim = "",
  2: i64 offset = -1,
}

struct KeptRecord {
  1: i64 offset = -1,
  2: i32 index = 0,
  3: LogRecord record,
}

struct VerdictMessage {
  1: string record_id = "",
  2: i64 offset = -1,
  3: i32 index = 0,
  4: string status = "",
  5: string reason = "",
  /** Id of the entity that the record yields, for duplicates the first one. */
  6: string entity_id = "",
}

struct ShardSnapshot {
  1: i64 through_offset = -1,
  2: list<FileState> files,
  3: list<JobState> jobs,
  4: list<CallState> calls,
  5: list<ServerLeaseState> server_leases,
  /** Raw bodies of POISON_VERDICT. */
  6: list<binary> poison_verdicts,
  /** Records of kinds that the writer does not know, verbatim. */
  7: list<KeptRecord> unknown_records,
  /** Latest records first to last, for the recognition of second copies. */
  8: list<VerdictMessage> recent_verdicts,
  9: i64 time_ms = 0,
}

// --- Configuration ---------------------------------------------------------

struct ConfigEntry {
  /** service, model, tenant, backend_server, operator */
  1: string kind = "",
  2: string name = "",
  /** The declaration as JSON; empty when it is deleted. */
  3: string json = "",
  4: bool deleted = false,
}

struct ConfigChange {
  1: string change_id = "",
  /** Version (offset) that the change was made against; -1 for the first. */
  2: i64 base_version = -1,
  3: list<ConfigEntry> entries,
  4: string author = "",
  5: i64 created_ms = 0,
  6: string message = "",
  /**
   * Replaces the whole configuration if the change lies at this very offset;
   * starts a stream over whose earlier records and snapshots are lost.
   */
  7: i64 restart_at = -1,
}

struct ConfigEntryState {
  1: ConfigEntry entry,
  2: i64 changed_version = -1,
}

/** How a recent change ended. */
struct ConfigVerdictState {
  1: string change_id = "",
  2: string status = "",
  3: i64 version = -1,
  4: list<string> changed,
}

/** Raw body of an append, or of a change with unknown fields. */
struct ConfigRawChange {
  1: i64 offset = -1,
  2: binary body = "",
}

struct ConfigSnapshot {
  1: i64 version = -1,
  2: i64 through_offset = -1,
  3: list<ConfigEntryState> entries,
  4: list<KeptRecord> unknown_records,
  5: list<string> recent_change_ids,
  6: list<ConfigVerdictState> recent_verdicts,
  7: list<ConfigRawChange> raw_changes,
  /** Newest version whose deletions are no longer all remembered. */
  8: i64 pruned_version = -1,
  9: i64 malformed_records = 0,
  10: i64 dropped_unknown_records = 0,
}

// --- Declarations ----------------------------------------------------------

struct ServiceDeclaration {
  /** Version of the format. */
  1: i32 schema_version = 1,
  /** Always service. */
  2: string kind = "service",
  /** Name of the service. */
  3: string name = "",
  /** engine or plain */
  4: string type = "engine",
  /**
   * Slots on each server that batch leaves free for online bursts. Larger
   * values favour online latency, smaller ones batch throughput.
   */
  5: i32 batch_reserve = 1,
  /** Online requests that may wait on one host before it refuses. */
  6: i32 max_queue = 256,
  /** Retries allowed as a share of requests. */
  7: double retry_budget = 0.2,
  /** Attempts for one online request. */
  8: i32 max_attempts = 3,
  /** Path prefixes of a plain service whose calls may not be repeated. */
  9: list<string> non_idempotent_paths,
  /** Deadline of a request that names none. */
  10: double default_deadline_s = 120.0,
}

struct ModelVersion {
  /** Name of the version. */
  1: string name = "",
  /** Share of the traffic, relative to the other versions. */
  2: i32 weight = 100,
}

struct ModelDeclaration {
  /** Version of the format. */
  1: i32 schema_version = 1,
  /** Always model. */
  2: string kind = "model",
  /** Name under which callers ask for the model. */
  3: string name = "",
  /** Service that serves the model. */
  4: string service_name = "",
  /** Versions that share the traffic. */
  5: list<ModelVersion> versions,
  /** Adapters that callers may name. */
  6: list<string> adapters,
  /** Bytes of the weights of a version. */
  7: i64 weight_bytes = 1000000000,
  /** Servers that should hold the model; 0 for all servers of the service. */
  8: i32 replicas = 0,
}

struct TenantDeclaration {
  /** Version of the format. */
  1: i32 schema_version = 1,
  /** Always tenant. */
  2: string kind = "tenant",
  /** Name of the tenant. */
  3: string name = "",
  /** SHA-256 hex digests of the tenant's keys. */
  4: list<string> key_digests,
  /** Weight in fair sharing. */
  5: double share = 1.0,
  /** 0 for no limit. */
  6: i32 max_concurrency = 0,
  /** Requests a second on one host; 0 for no limit. */
  7: double requests_per_s = 0.0,
}

struct BackendServerDeclaration {
  /** Version of the format. */
  1: i32 schema_version = 1,
  /** Always backend_server. */
  2: string kind = "backend_server",
  /** Name of the server. */
  3: string name = "",
  /** Service of the server. */
  4: string service_name = "",
  /** Failure domain of the server. */
  5: string failure_domain = "",
  /** URL under which hosts reach the server. */
  6: string url = "",
  /** Requests that the server runs at a time. */
  7: i32 slots = 8,
  /** False for servers that ignore fencing numbers in orders. */
  8: bool checks_fencing = true,
  /** Memory for weights and adapters, without the KV cache. */
  9: i64 memory_bytes = 80000000000,
  /** mixed, prefill or decode */
  10: string role = "mixed",
}

// --- Peer messages ---------------------------------------------------------

struct HostInfo {
  1: string host_id = "",
  2: string incarnation = "",
  3: string failure_domain = "",
  4: string url = "",
  5: string peer_url = "",
  /** live or leaving */
  6: string state = "live",
  7: i64 heartbeat = 0,
  /** Highest schema version of records that the host reads. */
  8: i32 reads_version = 1,
  9: i64 config_version = -1,
  10: bool ready = false,
  /** Orders the incarnations of a host: the higher generation is newer. */
  11: i64 generation = 0,
  /** Lowest reads_version in the host's failure domain; 0 if not told. */
  12: i32 domain_reads_version = 0,
}

struct ServerLoad {
  1: string server_id = "",
  2: i32 online_in_flight = 0,
  3: i32 batch_in_flight = 0,
  4: i64 heartbeat = 0,
  5: bool leaving = false,
  6: bool crashed = false,
  /** The sender keeps the server for one request that may crash it. */
  7: bool reserved = false,
}

struct GossipMessage {
  1: HostInfo sender,
  2: list<HostInfo> hosts,
  /** Load that the sender itself puts on servers. */
  3: list<ServerLoad> loads,
  4: i64 config_version = -1,
  /** Seconds since the sender last read the end of the config stream. */
  5: double config_age_s = 0.0,
  6: list<string> leaving_servers,
  /** Fingerprints of the HostInfos that the sender holds as live. */
  7: list<i32> known_keys,
  /** Heartbeats in the order of known_keys. */
  8: list<i64> known_heartbeats,
  /** Fingerprints that the sender asks the HostInfos of. */
  9: list<i32> wanted,
  /** Time since each server in leaving_servers was first seen leaving. */
  10: list<i32> leaving_ages_ms,
}

/** The error that ended a call between hosts. */
struct PeerErrorMessage {
  /** Code of the error class, which the receiver raises again. */
  1: string kind = "",
  2: string code = "",
  3: string message = "",
  4: string step = "",
  5: string peer = "",
  6: string execution = "",
  7: i32 http_status = 0,
  8: double retry_after_s = 0.0,
}

struct SubmitRequest {
  1: i32 shard = 0,
  2: list<LogRecord> records,
  3: double timeout_s = 0.0,
  4: bool urgent = false,
}

struct SubmitReply {
  1: list<VerdictMessage> verdicts,
  2: string error_code = "",
}

struct WorkRequest {
  1: string host_id = "",
  2: string incarnation = "",
  3: string service_name = "",
  4: i32 max_items = 0,
  5: i32 shard = 0,
}

struct WorkGrant {
  1: string job_id = "",
  2: i32 chunk = 0,
  3: i64 claim_offset = -1,
  4: i64 lease_ms = 0,
  5: ChunkRef ref,
  6: list<i64> remaining,
  7: bool idempotent = true,
  8: string endpoint = "",
  9: string tenant = "",
  10: string model = "",
  11: i64 due_ms = 0,
  /** Items with an intent of an earlier holder and no outcome. */
  12: list<i64> doubtful,
}

struct WorkReply {
  1: list<WorkGrant> grants,
  2: list<string> cancelled_jobs,
  3: string error_code = "",
}

/**
 * Tells the owner of a server's batch slots of an online request that starts or
 * ends there, before the next digest does, so that slots are freed or filled.
 */
struct GiveWayRequest {
  1: string server_id = "",
  2: i32 slots = 0,
  3: string host_id = "",
  /** The sender's online requests on the server now; -1 if not stated. */
  4: i32 online_in_flight = -1,
  /** Passed on by a representative of the server's failure domain. */
  5: bool forwarded = false,
}

struct GiveWayReply {
  1: i32 freed = 0,
}

struct ShardStateRequest {
  1: i32 shard = 0,
}

struct ShardStateReply {
  1: binary snapshot = "",
  2: string error_code = "",
}

struct ConfigFetchRequest {
  1: i64 have_version = -1,
  /** Last applied offset; -1 asks for the whole configuration. */
  2: i64 have_through = -1,
}

struct ConfigFetchReply {
  1: ConfigSnapshot snapshot,
  2: bool unchanged = false,
  3: double age_s = 0.0,
  /** Instead of a snapshot: all appends after have_through, as read. */
  4: list<ConfigRawChange> appends,
}

struct CallStatusRequest {
  1: string intent_id = "",
}

/** Tells a holder of claims that a job was cancelled. */
struct JobCancelledNotice {
  1: string job_id = "",
}

/** Tells peers that a shard has new work, so that free slots ask at once. */
struct JobAcceptedNotice {
  1: string job_id = "",
  2: string service_name = "",
}

struct CallStatusReply {
  /** running, abandoned (never dispatched) or unknown */
  1: string state = "unknown",
}

struct HandOverRequest {
  1: string host_id = "",
  2: list<Outcomes> outcomes,
  /** Outcomes of non-idempotent calls. */
  3: list<CallOutcome> calls,
}

struct HandOverReply {
  1: i32 accepted = 0,
}

struct PoisonReport {
  1: string host_id = "",
  2: list<PoisonVerdict> verdicts,
}

struct Empty {
}

// --- Settings --------------------------------------------------------------

struct TlsSettings {
  /** Path of a PEM file, or the PEM text itself. */
  1: string certificate = "",
  /** Path of a PEM file, or the PEM text itself. */
  2: string private_key = "",
  /** CA certificates that peers must be signed by. */
  3: string ca = "",
}

struct LimitSettings {
  /** Bytes of a request body other than an uploaded file. */
  1: i64 max_body_bytes = 8388608,
  /** Bytes of an uploaded file. */
  2: i64 max_file_bytes = 268435456,
  /** Bytes of all headers of a request. */
  3: i32 max_header_bytes = 16384,
  /** Open connections of callers to one host. */
  4: i32 max_connections = 4096,
  /** Time for a caller to send the whole request body. */
  5: double body_timeout_s = 30.0,
  /** Time after which an idle connection is closed. */
  6: double idle_timeout_s = 75.0,
  /** Deadline of requests that no service gives one. */
  7: double default_deadline_s = 120.0,
  /** Longest deadline that a caller may ask for. */
  8: double max_deadline_s = 600.0,
  /** Items of one batch job. */
  9: i32 max_job_items = 100000,
}

struct BatchSettings {
  /** Items of an input file that are claimed together. */
  1: i32 chunk_items = 32,
  /** Bytes above which a chunk holds fewer items. */
  2: i64 chunk_bytes = 262144,
  /** Lease on a claimed chunk. */
  3: i64 lease_ms = 15000,
  /** Added to a lease before another host takes it over. */
  4: i64 lease_margin_ms = 500,
  /** Outcomes kept in memory while the log is away. */
  5: i32 max_unrecorded_outcomes = 512,
  /** Runs of an idempotent item that reached a backend server. */
  6: i32 max_item_attempts = 3,
  /** Time for which files, jobs and results stay readable. */
  7: double result_retention_s = 2592000.0,
  /** Interval at which a host without work asks for some. */
  8: double idle_poll_s = 0.5,
}

struct LogSettings {
  /** Number of shards; the same on all hosts, fixed for a log. */
  1: i32 shards = 4,
  /** Time for which the writer gathers records before an append. */
  2: double linger_s = 0.2,
  /** The same for records that a caller waits for. */
  3: double urgent_linger_s = 0.003,
  /** Time for the log service to answer. */
  4: double request_timeout_s = 2.0,
  // Field 5 was an interval that nothing read.
  /** Interval at which the fast pollers read the config stream. */
  6: double config_poll_s = 0.25,
  /** Records after which a new snapshot is written. */
  7: i32 snapshot_records = 500,
  /** Records that the log keeps for sure; older bodies are carried forward. */
  8: i64 retention_records = 100000,
  /** Bytes of one append. */
  9: i64 max_append_bytes = 1000000,
}

struct MembershipSettings {
  /** Interval of gossip rounds. */
  1: double gossip_s = 0.25,
  /** Peers contacted in a round. */
  2: i32 gossip_fanout = 3,
  /** Silence after which a peer is taken as dead. */
  3: double dead_after_s = 2.0,
  /** Interval of announcements to and reads of the host list. */
  4: double host_list_poll_s = 1.0,
  /** Interval at which load reports are read. */
  5: double load_poll_s = 0.25,
  /**
   * Bytes, sent and received, that gossip may cost a host; above it rounds
   * contact fewer peers.
   */
  6: double gossip_bytes_per_s = 16000.0,
}

struct StopSettings {
  /** Time for running requests to finish in a graceful shutdown. */
  1: double grace_s = 60.0,
  /** Time between not ready and the close of listeners. */
  2: double drain_announce_s = 0.5,
}

struct PlacementSettings {
  /** False for hosts that give backend servers no orders. */
  1: bool enabled = true,
  /** Time between two plans. */
  2: double plan_s = 1.0,
  3: i64 lease_ms = 60000,
  /**
   * Orders end this long before the lease, and another holder starts this long
   * after it. It covers a connection set-up of 2 s and pauses of a process.
   */
  4: i64 lease_margin_ms = 5000,
  /** Loads of weights at a time over the whole fleet. */
  5: i32 max_loads = 8,
  /** A load waits while the weight store's queue is longer than this. */
  6: double max_weight_backlog_s = 30.0,
  /** Times for which a need must last before the order is given. */
  7: double load_after_s = 2.0,
  8: double unload_after_s = 120.0,
  /** Silence after which a server does not count as a holder. */
  9: double lost_after_s = 30.0,
  /** Interval at which a host reads the fleet stream. */
  10: double fleet_poll_s = 5.0,
  /** Pause after a failed order before the next try. */
  11: double retry_s = 10.0,
  /** Streams of a leaving server that end within this time are not moved. */
  12: double finish_s = 5.0,
  /** Declared costs, used until they are measured. */
  13: double prefill_tokens_per_s = 8000.0,
  14: double kv_tokens_per_s = 200000.0,
  15: double kv_setup_s = 0.05,
}

/** Settings of one entry host. */
struct HostSettings {
  /** Version of the settings format. */
  1: i32 schema_version = 1,
  /** Unique name of the host; required. */
  2: string host_id = "",
  /** Failure domain of the host; required. */
  3: string failure_domain = "",
  /** Address of both listeners. */
  4: string listen_address = "127.0.0.1",
  /** Port of the caller API; 0 for a free one. */
  5: i32 port = 0,
  /** Port for other hosts; 0 for a free one. */
  6: i32 peer_port = 0,
  /** URL under which callers reach this host. */
  7: string url = "",
  /** URL under which other hosts reach this host. */
  8: string peer_url = "",
  /** URL of the platform: log service, host list, weight store; required. */
  9: string platform_url = "",
  /** Shared secret of the hosts; at least 16 characters. */
  10: string peer_secret = "",
  /** Digests (SHA-256, hex) of operator keys. */
  11: list<string> operator_key_digests,
  /** TLS of the caller API; plain HTTP without a certificate. */
  12: TlsSettings tls,
  /** TLS between hosts. */
  13: TlsSettings peer_tls,
  14: LimitSettings limits,
  15: BatchSettings batch,
  16: LogSettings log,
  17: MembershipSettings membership,
  18: StopSettings stop,
  /** Peers known at start: peer URLs by host id. */
  19: map<string, string> seed_peers,
  /** Lowest level of log lines on stderr. */
  20: string log_level = "info",
  /** text or json */
  21: string log_format = "text",
  22: PlacementSettings placement,
}

/** Settings of the platform stand-in. */
struct PlatformStandinSettings {
  /** Address of the listener. */
  1: string listen_address = "127.0.0.1",
  /** Port; 0 for a free one. */
  2: i32 port = 0,
  /** Appends that all clients together may make. */
  3: i32 appends_per_s = 400,
  /** Records that each stream keeps. */
  4: i64 retention_records = 100000,
  /** Age of what the host list shows. */
  5: double host_list_lag_s = 1.0,
  /** Rate of the weight store. */
  6: i64 weight_bytes_per_s = 10000000000,
  /** Time without renewal after which an entry host leaves the list. */
  7: double host_ttl_s = 5.0,
}

/** Settings of one engine or plain service stand-in and its model of time. */
struct EngineStandinSettings {
  /** Address of the listener. */
  1: string listen_address = "127.0.0.1",
  /** Port; 0 for a free one. */
  2: i32 port = 0,
  /** Name of the backend server. */
  3: string server_id = "",
  /** Failure domain of the server. */
  4: string failure_domain = "",
  /** Service of the server. */
  5: string service_name = "",
  /** Models held at start, as NAME, NAME@VERSION or NAME@VERSION:ADAPTER. */
  6: list<string> models,
  /** engine or plain */
  7: string kind = "engine",
  /** Requests that run at a time. */
  8: i32 slots = 8,
  /** Rate at which prompts are read. */
  9: double prefill_tokens_per_s = 8000.0,
  /** Time of a decode step with one stream. */
  10: double decode_step_ms = 10.0,
  /** Added to a decode step for each further running stream. */
  11: double decode_step_per_stream_ms = 0.5,
  /** Tokens in the KV cache. */
  12: i64 kv_tokens = 65536,
  /** Tokens of cached prompt prefixes. */
  13: i64 prefix_cache_tokens = 32768,
  /** Age of load reports. */
  14: double load_report_lag_s = 0.5,
  /** Whether orders with a stale fencing number are refused. */
  15: bool checks_fencing = true,
  /** URL of the platform, for the weight store. */
  16: string platform_url = "",
  /** Seed of the answers and of lost cache events. */
  17: i64 seed = 1,
  /** Time to load weights besides their transfer. */
  18: double weight_load_s = 0.5,
  /** Queued requests beyond which an engine answers 429. */
  19: i32 max_queue = 1024,
  /** Time that a plain service takes for one call. */
  20: double service_time_ms = 20.0,
  /** Time after which a cache event is visible. */
  21: double cache_event_lag_s = 0.5,
  /** One of this many cache events is lost; 0 for none. */
  22: i32 cache_event_gap = 16,
}

// --- Deployment directories ------------------------------------------------

struct LatencySettings {
  /** Between failure domains. */
  1: double between_domains_ms = 0.0,
  /** To callers. */
  2: double to_clients_ms = 0.0,
}

struct HostPlace {
  /** Unique name of the host. */
  1: string host_id = "",
  /** Failure domain of the host. */
  2: string failure_domain = "",
}

/** deployment.json of a deployment directory. */
struct DeploymentSettings {
  /** Version of the format. */
  1: i32 schema_version = 1,
  /** Name of the deployment. */
  2: string name = "",
  /** Seed of the stand-ins. */
  3: i64 seed = 1,
  /** One-way latencies of the real sites; the embedded form adds none. */
  4: LatencySettings latency,
  /** Entry hosts. */
  5: list<HostPlace> hosts,
  /** The platform stand-in. */
  6: PlatformStandinSettings platform,
  /** The stand-ins of backend servers. */
  7: list<EngineStandinSettings> backend_servers,
  /** Settings that all hosts share; names, addresses and peers are set. */
  8: HostSettings host,
  /** Keys for stand-ins only. */
  9: string caller_key = "",
  /** Key of an operator. */
  10: string operator_key = "",
}
