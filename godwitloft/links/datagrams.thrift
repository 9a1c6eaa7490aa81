/*
 * Datagrams between gateways, and between gateways and agents.
 *
 * Each holds the whole present state of its matter, so that a lost or
 * repeated one does no harm. Generated Python is committed; regenerate it
 * with the thrift compiler (docs/DEVELOPMENT.md).
 */
namespace py godwitloft.links.generated.datagrams

/* A gateway tells an agent what it runs there and what waits. */
struct SlotWant {
  1: required string upstream       // identity of the agent's upstream
  2: required string gateway        // incarnation of the sender
  3: required i64 sequence          // grows with each datagram
  4: required i64 started           // requests it ever started there
  5: required i32 running           // of those, not yet ended
  6: required i32 slots             // of the upstream, as it announced them
  7: required list<i32> waiting     // by urgency, the most urgent first
  8: required i32 unread            // prompt tokens sent and not yet answered
  9: optional string zone           // availability zone of the sender
}

/* An agent tells a gateway how far it may go. */
struct SlotGrant {
  1: required string upstream
  2: required string gateway
  3: required string agent          // incarnation of the sender
  4: required i64 sequence          // of the want that was last heard
  5: required i64 start_limit       // started may grow up to this
  6: required i32 unread_elsewhere  // prompt tokens that other gateways sent
  7: optional i64 leaving_born_ms   // start of the upstream's process, if it
                                    // has said that it is leaving
}

/* An upstream that has said that it is leaving. */
struct LeavingUpstream {
  1: required string upstream       // its identity
  2: required i64 born_ms           // start of its process
}

/* What one team asks of one gateway. */
struct TeamDemand {
  1: required string team
  4: required i64 tokens_per_s      // whole numbers are short on the wire
  5: required i64 committed         // tokens used in the window of the
                                    // limit, with those set aside
}

/* A crash of an upstream that ran requests. */
struct Crash {
  1: required string id             // the same at all gateways
  2: required i64 age_ms
  3: required list<string> causes   // what may have caused it
}

/* An upstream has answered to a request or part, and not crashed. */
struct Sound {
  1: required string cause
  2: required i64 age_ms
}

/* A request or part is blamed for crashes. */
struct Blame {
  1: required string cause
  2: required list<Crash> crashes   // the last ones, without other causes
  3: required i32 trials            // that were sent all the same
  4: required i64 trial_age_ms      // since the last of them
}

/* What an upstream has last said of its limit. */
struct UpstreamLimit {
  1: required string upstream
  2: required i64 born_ms           // start of its process
  3: required i64 age_ms            // since it said so
  4: optional double per_s          // requests; absent: no limit any more
}

/* What a gateway has observed of the capacity of an upstream. */
struct UpstreamCapacity {
  1: required string upstream
  2: required i64 born_ms           // start of its process
  3: required i32 running           // requests of the sender
  4: optional list<i32> levels      // of each observed amount of work: its
                                    // number, the weight and the mean
                                    // logarithm of relative times in 1/100
  5: optional i32 slow_percent      // of the answers
  6: optional i32 refused           // work in progress when it refused, if
                                    // that was lately
  7: optional i32 room              // set by the gateway that decides on it
  8: optional i32 base              // the room without a probe
  9: optional list<i32> curve       // knee, slope and base in 1/100
}

/* What a gateway that is gone or starting had committed. */
struct FormerUse {
  1: required string gateway        // name of its instance
  2: required i64 age_ms            // since it was last heard
  3: required list<TeamDemand> committed
}

/* Answers of one version on one route at one upstream. */
struct AnswerCounts {
  1: required string version        // of the upstream's software
  2: required string route
  3: required string upstream       // its identity
  4: required i64 answers           // that the process has counted
  5: required i64 failed            // of those
  6: required list<i32> times       // how many took how long; zeros at the
                                    // end are left out
}

/* What a gateway knows of a roll-out. */
struct RolloutNews {
  1: required string service_name
  2: required i64 order_version     // of the row of its order
  3: optional string phase          // absent: none that the gateway tells
  4: optional bool stopped          // the gateway sends nothing more to the
                                    // new version
  5: optional i32 left              // its requests that run at former
                                    // versions or must go there
  6: optional list<AnswerCounts> counts // some of its process
}

/* What waits and runs for one service at one gateway. */
struct ServiceDemand {
  1: required string service_name
  2: required i32 running           // its requests at all upstreams
  3: required list<i32> waiting     // of those that can be on time, by
                                    // urgency, the most urgent first
  4: optional list<i32> claimed     // sixteenths of slots that arriving and
                                    // waiting requests need, by urgency;
                                    // refused ones count
}

/* A gateway tells another one what limits they share. */
struct Sharing {
  1: required string gateway        // name of the sender's instance
  2: required list<TeamDemand> demands
  3: required list<binary> crashing // always empty; older gateways need it
  4: optional bool partial          // other teams are as they were told
  5: optional i64 version           // of the configuration in force
  6: optional i64 timeline          // newest known timeline of the store
  7: optional list<LeavingUpstream> leaving
  8: optional bool starting         // this process has just started: what
                                    // had the one before it used?
  9: optional list<TeamDemand> former // what the receiver had committed, as
                                    // an answer to starting; absent if the
                                    // sender doesn't know
  10: optional i64 store_seen_age_ms // since the sender last knew that the
                                    // store was up
  11: optional i64 store_up_ms      // how long it had been up by then without
                                    // an outage
  12: optional list<Crash> crashes  // of upstreams, lately
  13: optional list<Sound> sound    // what was there, and is sound
  14: optional list<Blame> blames
  15: optional list<UpstreamLimit> limits
  16: optional bool answers         // this answers the receiver's starting
  17: optional list<FormerUse> others // of other gateways, with an answer
  18: optional i64 asked_ms         // the receiver is asked how long datagrams
                                    // take: on the sender's clock
  19: optional i64 answer_ms        // the receiver's asked_ms plus how long
                                    // the sender has held it
  20: optional string incarnation   // of the sender's process; goes with
                                    // rollouts
  21: optional list<RolloutNews> rollouts
  30: optional list<ServiceDemand> room_demands // of services with requests;
                                    // absent: the sender is older
  40: optional list<UpstreamCapacity> capacities // that have changed
}

/* A gateway asks another one how new what it holds is. */
struct NewsQuestion {
  1: required string gateway        // name of the sender's instance
  2: required i64 asked_ms          // on the sender's clock; comes back
}

/* What a gateway holds, and when that was the newest. */
struct NewsAnswer {
  1: required string gateway
  2: required i64 asked_ms          // of the question
  3: required i64 version           // of the configuration
  4: required i64 version_age_ms    // since that was known to be the newest
  5: required i64 list_digest       // of the list of upstreams
  6: required i64 list_age_ms       // since the list was read
  7: optional i64 rows_digest       // of orders and roll-outs
  8: optional i64 rows_age_ms       // since those were known to be current
}

union Datagram {
  1: SlotWant want
  2: SlotGrant grant
  3: Sharing sharing
  4: NewsQuestion question
  5: NewsAnswer answer
}
