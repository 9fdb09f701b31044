"""Encode and decode control messages in Thrift's compact protocol."""

from __future__ import annotations

from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolException
from thrift.transport.TTransport import TMemoryBuffer, TTransportException

from citronspring.control.generated import ttypes
from citronspring.control.messages import (
    AccountUse,
    Ack,
    ControlMessage,
    Gossip,
    HostUpdate,
    Loads,
    Members,
    MembersRequest,
    Ping,
    PingRequest,
    Records,
    RecordsRequest,
    SnapshotPart,
    SnapshotRequest,
    TargetLoad,
)
from citronspring.control.wire import (
    STATES,
    STATES_BY_NUMBER,
    check_integer,
    check_name,
    malformed_error,
    read_account,
    read_host,
    read_items,
    read_record,
    write_account,
    write_host,
    write_record,
)

#: Maximum number of items in a list, and of bytes in a string. They keep a forged
#: length from exhausting the memory.
MAX_ITEMS = 512
MAX_STRING = 4096

#: Maximum number of parts of a snapshot.
MAX_PARTS = 1 << 20

FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING, container_length_limit=MAX_ITEMS
)

#: Exceptions that the Thrift library raises on bytes that are not a valid struct.
DECODING_ERRORS = (
    EOFError,
    MemoryError,
    OverflowError,
    RecursionError,
    TProtocolException,
    TTransportException,
    TypeError,
    ValueError,
)


def encode(struct: ttypes.Envelope) -> bytes:
    """Return the encoded bytes of a struct."""
    buffer = TMemoryBuffer()
    struct.write(FACTORY.getProtocol(buffer))
    return bytes(buffer.getvalue())


def decode(data: bytes) -> ttypes.Envelope:
    """Decode an envelope.

    Raises
    ------
    ControlMessageError
        If the bytes are not an envelope, or if more bytes follow it.
    """
    buffer = TMemoryBuffer(data)
    envelope = ttypes.Envelope()
    try:
        envelope.read(FACTORY.getProtocol(buffer))
    except DECODING_ERRORS as error:
        raise malformed_error(f"encoding ({type(error).__name__})") from None
    if buffer.cstringio_buf.tell() != len(data):
        raise malformed_error("length")
    return envelope


def write_update(update: HostUpdate) -> ttypes.HostUpdate:
    """Return the struct of a host update."""
    host = None if update.host is None else write_host(update.host)
    return ttypes.HostUpdate(
        update.host_id, STATES[update.state], update.incarnation, host
    )


def read_update(struct: ttypes.HostUpdate) -> HostUpdate:
    """Return a host update."""
    host_id = check_name(struct.host_id, "host")
    if struct.state not in STATES_BY_NUMBER:
        raise malformed_error("host state")
    return HostUpdate(
        host_id,
        STATES_BY_NUMBER[struct.state],
        check_integer(struct.incarnation, "incarnation"),
        None if struct.host is None else read_host(struct.host, host_id),
    )


def write_updates(updates: tuple[HostUpdate, ...]) -> list[ttypes.HostUpdate]:
    """Return the structs of host updates."""
    return [write_update(update) for update in updates]


def write_message(message: ControlMessage) -> ttypes.Message:
    """Return the union that holds a message."""
    match message:
        case Ping(sequence, revision, updates, members):
            written = write_updates(updates)
            ping = ttypes.Ping(
                sequence, revision, written, write_updates(members) or None
            )
            return ttypes.Message(ping=ping)
        case Ack(sequence, revision, updates):
            ack = ttypes.Ack(sequence, revision, write_updates(updates))
            return ttypes.Message(ack=ack)
        case PingRequest(sequence, host_id, revision, updates):
            written = write_updates(updates)
            request = ttypes.PingRequest(sequence, host_id, revision, written)
            return ttypes.Message(ping_request=request)
        case Gossip(revision, updates):
            gossip = ttypes.Gossip(revision, write_updates(updates))
            return ttypes.Message(gossip=gossip)
        case MembersRequest(part, updates):
            request = ttypes.MembersRequest(part, write_updates(updates))
            return ttypes.Message(members_request=request)
        case Members(part, parts, updates):
            members = ttypes.Members(part, parts, write_updates(updates))
            return ttypes.Message(members=members)
        case _:
            return write_configuration_message(message)


def write_configuration_message(message: ControlMessage) -> ttypes.Message:
    """Return the union that holds a message about configuration or loads."""
    match message:
        case Records(records, part, parts):
            written = [write_record(record) for record in records]
            return ttypes.Message(records=ttypes.Records(written, part, parts))
        case RecordsRequest(after):
            return ttypes.Message(records_request=ttypes.RecordsRequest(after))
        case SnapshotRequest(revision, part, count):
            wanted = ttypes.SnapshotRequest(revision, part, count)
            return ttypes.Message(snapshot_request=wanted)
        case SnapshotPart(revision, part, parts, accounts):
            written = [write_account(account) for account in accounts]
            snapshot = ttypes.SnapshotPart(revision, part, parts, written)
            return ttypes.Message(snapshot_part=snapshot)
        case Loads(targets, accounts):
            return ttypes.Message(loads=write_loads(targets, accounts))
        case _:
            raise malformed_error("type")


def write_loads(
    targets: tuple[TargetLoad, ...], accounts: tuple[AccountUse, ...]
) -> ttypes.Loads:
    """Return the struct of target loads and account usage."""
    return ttypes.Loads(
        [
            ttypes.TargetLoad(item.target_id, item.flows, item.load, item.healthy)
            for item in targets
        ],
        [ttypes.AccountUse(item.account_id, item.open_flows) for item in accounts],
    )


def read_message(union: ttypes.Message | None) -> ControlMessage:
    """Return the message that a union holds; exactly one field must be set."""
    if union is None:
        raise malformed_error("type")
    values = [
        value
        for field in ttypes.Message.__slots__
        if (value := getattr(union, field)) is not None
    ]
    if len(values) != 1:
        raise malformed_error("type")
    return read_struct(values[0])


def read_struct(struct: Any) -> ControlMessage:
    """Return the message of a generated struct."""
    match struct:
        case ttypes.Ping():
            return Ping(
                *read_heartbeat(struct), read_items(struct.members, read_update)
            )
        case ttypes.Ack():
            return Ack(*read_heartbeat(struct))
        case ttypes.PingRequest():
            sequence, revision, updates = read_heartbeat(struct)
            host_id = check_name(struct.host_id, "host")
            return PingRequest(sequence, host_id, revision, updates)
        case ttypes.Gossip():
            revision = check_integer(struct.revision, "revision")
            return Gossip(revision, read_items(struct.updates, read_update))
        case ttypes.MembersRequest():
            part = check_integer(struct.part, "part", MAX_PARTS)
            return MembersRequest(part, read_items(struct.updates, read_update))
        case ttypes.Members():
            part, parts = read_part(struct, minimum=0)
            return Members(part, parts, read_items(struct.updates, read_update))
        case _:
            return read_configuration_struct(struct)


def read_heartbeat(struct: Any) -> tuple[int, int, tuple[HostUpdate, ...]]:
    """Return sequence number, revision and updates of a ping or its answer."""
    return (
        check_integer(struct.sequence, "sequence number"),
        check_integer(struct.revision, "revision"),
        read_items(struct.updates, read_update),
    )


def read_part(struct: Any, minimum: int = 1) -> tuple[int, int]:
    """Return the part number of a message, and the number of parts."""
    parts = check_integer(struct.parts, "number of parts", MAX_PARTS)
    if parts < minimum:
        raise malformed_error("number of parts")
    highest = max(parts - 1, 0) if minimum else MAX_PARTS
    return check_integer(struct.part, "part", highest), parts


def read_configuration_struct(struct: Any) -> ControlMessage:
    """Return a message about configuration or loads."""
    match struct:
        case ttypes.Records():
            return read_records(struct)
        case ttypes.RecordsRequest():
            return RecordsRequest(check_integer(struct.after_revision, "revision"))
        case ttypes.SnapshotRequest():
            revision = check_integer(struct.revision, "revision")
            part = check_integer(struct.part, "part", MAX_PARTS)
            count = check_integer(struct.count, "number of parts", MAX_ITEMS)
            return SnapshotRequest(revision, part, count)
        case ttypes.SnapshotPart():
            part, parts = read_part(struct)
            accounts = read_items(struct.accounts, read_account)
            revision = check_integer(struct.revision, "revision")
            return SnapshotPart(revision, part, parts, accounts)
        case ttypes.Loads():
            targets = read_items(struct.targets, read_target_load)
            return Loads(targets, read_items(struct.accounts, read_account_use))
        case _:
            raise malformed_error("type")


def read_records(struct: ttypes.Records) -> Records:
    """Return change records.

    A message that is one of several parts holds a single record with an account.
    """
    part, parts = read_part(struct)
    records = read_items(struct.records, read_record)
    if parts > 1 and (len(records) != 1 or records[0].account is None):
        raise malformed_error("piece of a change record")
    return Records(records, part, parts)


def read_target_load(struct: ttypes.TargetLoad) -> TargetLoad:
    """Return the load of a target."""
    load = struct.load
    return TargetLoad(
        check_name(struct.target_id, "target"),
        check_integer(struct.flows, "number of flows"),
        None if load is None else check_integer(load, "load", 255),
        struct.healthy,
    )


def read_account_use(struct: ttypes.AccountUse) -> AccountUse:
    """Return the usage of a client account."""
    flows = check_integer(struct.open_flows, "number of flows")
    return AccountUse(check_name(struct.account_id, "account"), flows)
