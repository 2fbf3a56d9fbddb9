// Messages between the processes of one endiveworks deployment.
//
// Every method may be repeated on a fresh connection: requests carry the id that makes a repeat
// return the first outcome. Every method answers within its wait_ms, so a peer that is silent for
// longer has lost the connection.

namespace py endiveworks.wire.gen

// The sender of a message. Its configuration version tells a peer that is behind to pull.
struct Origin {
  1: string host
  2: i64 incarnation
  3: i64 config_version
}

// One attempt at one call of one program.
struct CallKey {
  1: string program
  2: i32 call
  3: i32 attempt
}

// An error, with the step and the peer at which it arose.
struct Fault {
  1: string code
  2: string step
  3: string peer
  4: string detail
  5: bool not_run
  6: i64 retry_after_ms
}

// How a call ended. fault is set when the call has no usable answer.
struct Ending {
  1: i32 status
  2: string content_type
  3: i32 prompt_tokens
  4: i32 completion_tokens
  5: i32 cached_tokens
  6: optional Fault fault
}

// Bytes of an answer from offset on. ending is set once data reaches the end of the answer.
// Answers of one call with equal generations have equal bytes; 0 stands for no bytes yet.
struct Chunk {
  1: i64 offset
  2: binary data
  3: optional Ending ending
  4: optional Fault fault
  5: i32 generation
}

// Wishes for bytes of answers from an offset on. The lists have one item for each wish: a struct for
// each would cost several times as much to encode and decode.
struct Wants {
  1: list<string> programs
  2: list<i32> calls
  3: list<i32> attempts
  4: list<i64> offsets
}

// News on the wish at a position, which has ended or failed.
struct Pulled {
  1: i32 position
  2: Chunk chunk
}

// News on wishes. The lists have one item for each answer that goes on: its position among the
// wishes, its generation and the bytes that follow the offset asked for. Others have ended or failed.
struct News {
  1: list<i32> positions
  2: list<i32> generations
  3: list<binary> data
  4: list<Pulled> others
}

struct NodeStatus {
  1: Origin origin
  2: string role
  3: bool draining
  4: i64 running
  5: i64 queued
}

// age_ms is the time since the key-value service is known to have had no newer version; -1 never.
struct ConfigReply {
  1: i64 version
  2: binary bundle
  3: i64 age_ms
}

service Node {
  NodeStatus ping(1: Origin origin)
  // The bundle, or an empty one when the version in force here is not above newer_than.
  ConfigReply config(1: Origin origin, 2: i64 newer_than)
  // News on any of the wants, as soon as there are any.
  News pull(1: Origin origin, 2: Wants wants, 3: i32 wait_ms)
}

// A command on a program that is answered at once: open, status, history, close.
struct ManageRequest {
  1: string action
  2: string program
  3: string tenant
  4: binary body
}

struct ManageReply {
  1: binary body
  2: optional Fault fault
}

// A call of a program, as the caller sent it.
struct CallRequest {
  1: string program
  2: i32 call
  3: string tenant
  4: string service_name
  5: string operation
  6: string idempotency_key
  7: binary body
}

// Calls at a process beside an upstream.
struct Load {
  1: i64 running
  2: i64 queued
}

// load is set by processes beside upstreams, and counts the call that was accepted.
struct SubmitReply {
  1: CallKey key
  2: i64 incarnation
  3: optional Fault fault
  4: optional Load load
}

// State of a journal copy after a request.
struct CopyReply {
  1: i64 epoch
  2: i64 generation
  3: i64 first_index
  4: i64 last_index
  5: optional Fault fault
}

struct FetchReply {
  1: i64 first_index
  2: list<binary> records
  3: i64 last_index
  4: optional Fault fault
}

service Owner extends Node {
  ManageReply manage(1: Origin origin, 2: ManageRequest req)
  SubmitReply submit(1: Origin origin, 2: CallRequest req)
  Chunk read(1: Origin origin, 2: CallKey key, 3: i64 offset, 4: i32 wait_ms)

  // Journal copies kept here for partitions owned by any host. folder is the id of the data folder
  // meant, so that an empty or replaced one is not taken for it.
  CopyReply append(1: Origin origin, 2: string folder, 3: i32 partition, 4: i64 epoch, 5: i64 first_index, 6: list<binary> records)
  CopyReply seal(1: Origin origin, 2: string folder, 3: i32 partition, 4: i64 epoch)
  CopyReply reset(1: Origin origin, 2: string folder, 3: i32 partition, 4: i64 epoch, 5: i64 generation, 6: i64 first_index)
  CopyReply trim(1: Origin origin, 2: string folder, 3: i32 partition, 4: i64 epoch, 5: i64 first_index)
  FetchReply fetch(1: Origin origin, 2: string folder, 3: i32 partition, 4: i64 first_index, 5: i32 max_bytes)
  // Asks this host to take a partition over from the sender, which has stopped acting on it.
  ManageReply take_over(1: Origin origin, 2: i32 partition, 3: i64 epoch)
}

// One attempt at a call, sent to the process beside an upstream.
struct Dispatch {
  1: CallKey key
  2: i64 epoch
  3: i64 incarnation
  4: string tenant
  5: string service_name
  6: string operation
  7: string class_name
  8: bool at_most_once
  9: i64 attained_tokens
  10: i64 deadline_ms
  11: i64 prompt_tokens
  12: i32 max_tokens
  13: binary body
}

// state is one of: revoked, running, ended, unknown.
struct RevokeReply {
  1: string state
  2: i64 incarnation
}

// Engine memory kept for a program until expiry; renewed in batches by its owner.
struct Hold {
  1: string program
  2: i64 epoch
  3: i64 keep_ms
}

service Executor extends Node {
  SubmitReply submit(1: Origin origin, 2: Dispatch req)
  Chunk read(1: Origin origin, 2: CallKey key, 3: i64 offset, 4: i32 wait_ms)
  RevokeReply revoke(1: Origin origin, 2: CallKey key, 3: i64 incarnation, 4: i64 epoch)
  void renew(1: Origin origin, 2: list<Hold> holds)
  void release(1: Origin origin, 2: string program, 3: i64 epoch)
}
