"""Messages between hosts of a zone about targets that may be unreachable.

Each message is one JSON object in a datagram. Times are sent as ages, since hosts have
no common clock.
"""

from __future__ import annotations

from citronspring.json_text import DECODE_ERRORS, dumps, integer, loads, number
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from typing import Any

#: Largest number of targets in one datagram; at some 35 bytes each it fits into one
#: packet.
MAX_SUSPICIONS = 30

#: Largest valid age in seconds; anything older is no evidence.
MAX_AGE = 60.0


@record(eq=True)
class Suspicion:
    """A target that has not acknowledged a request."""

    #: The incarnation of the target.
    incarnation: int
    #: Seconds since that request was first sent.
    age: float


@record(eq=True)
class Report:
    """From a host to the zone reader: requests retransmitted without an answer."""

    suspicions: tuple[Suspicion, ...]


@record(eq=True)
class Inquiry:
    """From the zone reader to all hosts: asks whether these targets have answered."""

    number: int
    suspicions: tuple[Suspicion, ...]


@record(eq=True)
class Reply:
    """From a host to the zone reader: the targets that have answered it since."""

    number: int
    answered: tuple[int, ...]


@record(eq=True)
class Verdict:
    """From the zone reader to all hosts: these targets have answered no host."""

    suspicions: tuple[Suspicion, ...]


HostMessage = Report | Inquiry | Reply | Verdict


def encode_message(message: HostMessage) -> bytes:
    """Return a message as a datagram."""
    match message:
        case Report():
            body: dict[str, Any] = {"report": encode_suspicions(message.suspicions)}
        case Inquiry():
            body = {
                "inquiry": message.number,
                "of": encode_suspicions(message.suspicions),
            }
        case Reply():
            body = {"reply": message.number, "answered": list(message.answered)}
        case Verdict():
            body = {"verdict": encode_suspicions(message.suspicions)}
    return dumps(body).encode()


def encode_suspicions(suspicions: tuple[Suspicion, ...]) -> list[list[float]]:
    """Return suspicions as JSON-compatible values."""
    return [[one.incarnation, round(one.age, 4)] for one in suspicions]


def decode_message(data: bytes) -> HostMessage | None:
    """Return the message in a datagram, None if it holds no valid one."""
    try:
        body = loads(data)
        if "report" in body:
            return Report(decode_suspicions(body["report"]))
        if "inquiry" in body:
            return Inquiry(integer(body["inquiry"]), decode_suspicions(body["of"]))
        if "reply" in body:
            answered = tuple(integer(one) for one in body["answered"])
            return Reply(integer(body["reply"]), answered)
        return Verdict(decode_suspicions(body["verdict"]))
    except DECODE_ERRORS:
        # The caller counts it. Its sender runs another release or is not a host of this
        # system.
        return None


def decode_suspicions(rows: list[Any]) -> tuple[Suspicion, ...]:
    """Return suspicions from their encoded values; raise one of `DECODE_ERRORS`."""
    found = []
    for incarnation, age in rows[:MAX_SUSPICIONS]:
        if not 0.0 <= age <= MAX_AGE:
            raise ValueError(f"invalid age of a suspicion: {age!r}")
        found.append(Suspicion(integer(incarnation), number(age)))
    return tuple(found)
