// Messages between the processes of one endiveworks deployment.
//
// Every method may be retried on a fresh connection: requests carry an id, and a request with an id
// seen before returns the first outcome. Every method replies within its wait_ms, so a connection
// without a reply for longer is treated as lost.

namespace py endiveworks.wire.gen

// The sender of a message. A peer with an older configuration version pulls the sender's.
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

// An error, with the step and the peer at which it occurred.
struct Fault {
  1: string code
  2: string step
  3: string peer
  4: string detail
  5: bool not_run
  6: i64 retry_after_ms
}

// How a call ended. fault is set when the call has no usable response.
struct Ending {
  1: i32 status
  2: string content_type
  3: i32 prompt_tokens
  4: i32 completion_tokens
  5: i32 cached_tokens
  6: optional Fault fault
}

// Bytes of a response from offset on. ending is set once data reaches the end of the response.
// Responses to one call with equal generations have equal bytes; generation 0 has no bytes yet.
struct Chunk {
  1: i64 offset
  2: binary data
  3: optional Ending ending
  4: optional Fault fault
  5: i32 generation
}

// Requests for bytes of responses, each from an offset. The lists have one item for each request:
// a struct for each would cost several times as much to encode and decode.
struct Wants {
  1: list<string> programs
  2: list<i32> calls
  3: list<i32> attempts
  4: list<i64> offsets
}

// The last chunk or the failure of the response requested at a position in Wants.
struct Pulled {
  1: i32 position
  2: Chunk chunk
}

// New bytes of the responses requested by Wants. The lists have one item for each response that
// continues: its position in Wants, its generation and the bytes after the requested offset. others
// holds the responses that have ended or failed.
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

// age_ms is the time since the sender last confirmed that the key-value service had no newer
// version; -1 if it never did.
struct ConfigReply {
  1: i64 version
  2: binary bundle
  3: i64 age_ms
}

service Node {
  NodeStatus ping(1: Origin origin)
  // Returns the bundle, or an empty one if the active version is not above newer_than.
  ConfigReply config(1: Origin origin, 2: i64 newer_than)
  // Returns new bytes of any of the requested responses as soon as there are some.
  News pull(1: Origin origin, 2: Wants wants, 3: i32 wait_ms)
}

// A command on a program that gets an immediate reply: open, status, history, close.
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

  // Journal copies stored on this host for partitions owned by any host. folder is the id of the
  // data folder that holds the copy, so that an empty or replaced folder is not mistaken for it.
  CopyReply append(1: Origin origin, 2: string folder, 3: i32 partition, 4: i64 epoch, 5: i64 first_index, 6: list<binary> records)
  CopyReply seal(1: Origin origin, 2: string folder, 3: i32 partition, 4: i64 epoch)
  CopyReply reset(1: Origin origin, 2: string folder, 3: i32 partition, 4: i64 epoch, 5: i64 generation, 6: i64 first_index)
  CopyReply trim(1: Origin origin, 2: string folder, 3: i32 partition, 4: i64 epoch, 5: i64 first_index)
  FetchReply fetch(1: Origin origin, 2: string folder, 3: i32 partition, 4: i64 first_index, 5: i32 max_bytes)
  // Asks this host to take over a partition from the sender, which no longer serves it.
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

// Engine memory reserved for a program until expiry; renewed in batches by the program's owner.
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
