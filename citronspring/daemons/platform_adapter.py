"""Interface of the adapter to a platform that a host in token mode uses."""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.host_settings import HostSettings
    from citronspring.http_request import HttpRequest
    from citronspring.tokens.entities import Packet
    from citronspring.tokens.messages import (
        ElectionAnswer,
        ElectionCall,
        ListEntries,
        StoreAnswer,
        WatchEntries,
    )


@record
class PlatformAdapter:
    """Functions that convert between a platform's formats and the internal types."""

    #: Raises SettingsError if the settings are invalid.
    read_settings: Callable[[], HostSettings]
    #: Returns a number that changes whenever the settings file changes.
    settings_version: Callable[[], int]
    #: Raises MalformedPacketError if a datagram is not a valid packet.
    decode_packet: Callable[[bytes], Packet]
    #: Takes the packet, and the incarnation and token of its target.
    encode_for_target: Callable[[Packet, int, int], bytes]
    encode_reset: Callable[[Packet], bytes]
    caller_ip: Callable[[Packet], str]
    #: Returns a flow's key as ``caller:port>service:port``.
    format_flow: Callable[[bytes], str]
    encode_call: Callable[[ListEntries | WatchEntries], HttpRequest]
    #: Takes the call, and the status, body and headers of its answer.
    decode_answer: Callable[
        [ListEntries | WatchEntries, int, bytes, dict[bytes, bytes]], StoreAnswer
    ]
    #: The same for election calls, without headers.
    encode_election_call: Callable[[ElectionCall], HttpRequest]
    decode_election_answer: Callable[[ElectionCall, int, bytes], ElectionAnswer]
    #: Path at which routers ask for readiness.
    readiness_path: str
