// Control messages between hosts. After a change, generate the code again with
//   thrift -out citronspring/control --gen py:slots citronspring/control/control.thrift
// from the root of the repository, and commit it (compiler 0.17).
// For compatibility between releases, existing fields stay as they are. New fields
// are optional and have new numbers.

namespace py generated

struct Endpoint {
  1: binary ip
  2: i32 port
}

struct ServiceAddress {
  1: binary ip
  2: i32 port
  3: i32 protocol
}

struct Target {
  1: string target_id
  2: Endpoint tunnel
  3: string zone
  4: i32 slots
  5: i32 max_connections
  6: optional Endpoint health
  7: i64 added_revision
  8: optional i64 leaving_revision
}

struct AccountLimits {
  1: i64 max_connections
  2: double new_per_second
  3: double retry_ratio
  4: double opening_timeout
  5: double tcp_idle_timeout
  6: double udp_idle_timeout
}

struct Account {
  1: string account_id
  2: list<ServiceAddress> addresses
  3: list<Target> targets
  4: list<string> zones
  5: optional AccountLimits limits
}

struct ChangeRecord {
  1: i64 revision
  2: string change_id
  3: string account_id
  4: optional Account account
}

enum HostState {
  ALIVE = 0
  SUSPECT = 1
  LEAVING = 2
  DEAD = 3
}

struct Host {
  1: string zone
  2: string group
  3: Endpoint tunnel
  4: Endpoint relay
  5: Endpoint control
}

struct HostUpdate {
  1: string host_id
  2: HostState state
  3: i64 incarnation
  4: optional Host host
}

struct Ping {
  1: i64 sequence
  2: i64 revision
  3: list<HostUpdate> updates
  4: optional list<HostUpdate> members
}

struct Ack {
  1: i64 sequence
  2: i64 revision
  3: list<HostUpdate> updates
}

struct PingRequest {
  1: i64 sequence
  2: string host_id
  3: i64 revision
  4: list<HostUpdate> updates
}

struct Gossip {
  1: i64 revision
  2: list<HostUpdate> updates
}

struct MembersRequest {
  1: i32 part
  2: list<HostUpdate> updates
}

struct Members {
  1: i32 part
  2: i32 parts
  3: list<HostUpdate> updates
}

struct Records {
  1: list<ChangeRecord> records
  2: i32 part
  3: i32 parts
}

struct RecordsRequest {
  1: i64 after_revision
}

struct SnapshotRequest {
  1: i64 revision
  2: i32 part
  3: i32 count
}

struct SnapshotPart {
  1: i64 revision
  2: i32 part
  3: i32 parts
  4: list<Account> accounts
}

struct TargetLoad {
  1: string target_id
  2: i32 flows
  3: optional i32 load
  4: optional bool healthy
}

struct AccountUse {
  1: string account_id
  2: i32 open_flows
}

struct Loads {
  1: list<TargetLoad> targets
  2: list<AccountUse> accounts
}

union Message {
  1: Ping ping
  2: Ack ack
  3: PingRequest ping_request
  4: Gossip gossip
  5: MembersRequest members_request
  6: Members members
  7: Records records
  8: RecordsRequest records_request
  9: SnapshotRequest snapshot_request
  10: SnapshotPart snapshot_part
  11: Loads loads
}

struct Envelope {
  1: string sender
  2: i64 boot_time
  3: i64 sequence
  4: i64 sent_at
  5: Message message
}
