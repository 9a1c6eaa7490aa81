/*
 * Messages between the daemons of godwitloft.
 *
 * Times are durations in milliseconds, never points in time: the clocks of
 * two instances need not agree. Generated Python is committed; regenerate
 * it with the thrift compiler (docs/DEVELOPMENT.md).
 */
namespace py godwitloft.links.generated.messages

/* First message in each direction. */
struct Hello {
  1: required i32 protocol_version
  2: required string role            // "entry" or "agent"
  3: required string instance
  4: required string incarnation     // new at every start of the process
  5: required string availability_zone
  6: required i64 generation         // of the configuration in force
  7: optional string pool            // agents: the pool of the upstream
  8: optional string upstream        // agents: the upstream's name
  9: optional bool draining
}

/* Sent at a fixed interval; agents add the state of their upstream. */
struct Heartbeat {
  1: required i64 generation
  2: optional i32 running
  3: optional i32 room               // requests that could start now
  4: optional double prefill_tokens_per_ms
  5: optional double decode_ms_per_token
  6: optional i32 lowest_tier_rank   // least important tier held, -1 none
  7: optional bool draining
  8: optional i64 generation_seen    // highest head generation heard of
}

/* The sender takes no new work from now on. */
struct Farewell {
  1: required string reason
}

/* A request waits at the sending entry and may be pulled. */
struct Bid {
  1: required string request_id
  2: required i32 tier_rank          // 0 is the most important tier
  3: required string team
  4: required i32 team_weight
  5: required string service_name
  6: required i64 deadline_in_ms
  7: required i32 prompt_tokens
  8: required i32 output_tokens      // expected
  9: required list<i64> prefix_keys  // one a block, each covers all before
  10: required string fingerprint    // hash of the body
  11: required bool urgent           // nothing else of its tier has room
  12: required i64 hold_ms           // start only after this delay
  13: required i64 generation
  14: optional bool isolate          // a suspect: run with no other suspect
  15: optional i32 agents            // how many agents may run it
}

/* The bid is over: dispatched elsewhere, refused or cancelled. */
struct Withdraw {
  1: required string request_id
}

/* The agent has room and asks for the request. */
struct Pull {
  1: required string request_id
}

/* The entry refuses a pull. */
struct PullRefused {
  1: required string request_id
  2: required string reason
}

/* The agent doesn't expect to finish the request in time. */
struct Skip {
  1: required string request_id
  2: required string reason          // "too_late", "poisonous", "higher_tier"
  3: required i64 finish_in_ms       // estimate were lower tiers not there
}

/* The commit point: the request runs on the receiving agent only. */
struct Dispatch {
  1: required string request_id
  2: required string method
  3: required string path
  4: required map<string, string> headers
  5: required binary body
  6: required bool stream
  7: required i64 deadline_in_ms
  8: required bool idempotent
  9: required i64 generation
}

/* The upstream has been given the request. */
struct Started {
  1: required string request_id
}

struct Chunk {
  1: required string request_id
  2: required i64 sequence           // 0, 1, 2 ... within the request
  3: required binary data
  4: optional i32 tokens
  5: optional i32 status             // HTTP status, with sequence 0
  6: optional string content_type    // with sequence 0
}

/* Chunks of several requests, gathered for at most 20 ms. */
struct Chunks {
  1: required list<Chunk> chunks
}

/* The last message of a run. */
struct Ended {
  1: required string request_id
  2: required string outcome         // "completed", "failed", "never_started"
  3: required i64 count              // chunks sent
  4: required string digest          // over all data, hexadecimal
  5: required i32 status             // HTTP status of the upstream
  6: required string reason
  7: optional i32 prompt_tokens      // prefilled, not found in a cache
  8: optional i32 output_tokens
  9: optional string content_type
  10: optional bool upstream_crashed
}

/* All chunks below `next_sequence` have arrived; when `ended` is set the
 * agent may forget the run. */
struct Ack {
  1: required string request_id
  2: required i64 next_sequence
  3: required bool ended
}

/* After a lost link: what became of these requests? */
struct Query {
  1: required string request_id
  2: required i64 next_sequence      // send chunks from here on
}

/* The agent's answer to a Query. */
struct QueryAnswer {
  1: required string request_id
  2: required string state           // "running", "ended", "never_started"
}

/* Stop the run: nobody waits for it any more. */
struct Cancel {
  1: required string request_id
  2: required string reason
}

/* The run is paused or goes on again on its upstream. */
struct Suspended {
  1: required string request_id
  2: required bool suspended
}

/* A body that crashed upstreams; `clear` ends a suspicion. */
struct Verdict {
  1: required string fingerprint
  2: required string verdict         // "suspect", "poisonous", "clear"
  3: required i64 expires_in_ms
}

/* The sender holds this generation of the configuration. */
struct GenerationNews {
  1: required i64 generation
  2: required string snapshot_hash
}

/* Please send the snapshot of this generation. */
struct SnapshotWanted {
  1: required i64 generation
  2: required string snapshot_hash
  3: optional string held_hash       // the asker has this one: send changes
}

struct Snapshot {
  1: required i64 generation
  2: required string snapshot_hash
  3: required binary content         // canonical JSON
  4: optional string base_hash       // content is only what changed since
}

/* An operator wants an instance to take no new work. Agents pass it on to
 * the entry of that name when `relayed` is false. */
struct Drain {
  1: required string instance
  2: required string author
  3: required string reason
  4: required bool relayed
}

/* Please tell the state of the peers that you have links to. */
struct StatusWanted {
  1: required i64 number             // comes back in the answer
}

struct PeerState {
  1: required string instance
  2: required string role
  3: required string availability_zone
  4: required i64 generation
  5: required bool draining
  6: required i64 heard_ms_ago
}

struct PeerStates {
  1: required i64 number
  2: required list<PeerState> peers
}

/* Exactly one field is set. */
union Message {
  1: Hello hello
  2: Heartbeat heartbeat
  3: Farewell farewell
  4: Bid bid
  5: Withdraw withdraw
  6: Pull pull
  7: PullRefused pull_refused
  8: Skip skip
  9: Dispatch dispatch
  10: Started started
  11: Chunks chunks
  12: Ended ended
  13: Ack ack
  14: Query query
  15: QueryAnswer query_answer
  16: Cancel cancel
  17: Suspended suspended
  18: Verdict verdict
  19: GenerationNews generation_news
  20: SnapshotWanted snapshot_wanted
  21: Snapshot snapshot
  22: Drain drain
  23: StatusWanted status_wanted
  24: PeerStates peer_states
}
