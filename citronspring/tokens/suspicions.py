"""What hosts of a zone tell each other about targets that may be lost.

As text between hosts: one JSON object a datagram. Times travel as ages, since hosts
share no clock.
"""

from __future__ import annotations

from citronspring.json_text import dumps, loads
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from typing import Any

#: Targets in one datagram at most; at some 35 bytes each it stays one packet.
MAX_SUSPICIONS = 30

#: What decoding raises when a message has another shape.
DECODE_ERRORS = (AttributeError, IndexError, KeyError, TypeError, ValueError)

#: Longest age in seconds that means anything; what is older is no evidence.
MAX_AGE = 60.0


@record(eq=True)
class Suspicion:
    """A target that has left a request without an acknowledgement."""

    #: Which start of which target.
    incarnation: int
    #: Seconds since that request was first sent.
    age: float


@record(eq=True)
class Report:
    """A host tells the reader of requests that were sent again in vain."""

    suspicions: tuple[Suspicion, ...]


@record(eq=True)
class Inquiry:
    """The reader asks all hosts of the zone whether these targets have answered."""

    number: int
    suspicions: tuple[Suspicion, ...]


@record(eq=True)
class Reply:
    """A host tells the reader which of them have answered it since."""

    number: int
    answered: tuple[int, ...]


@record(eq=True)
class Verdict:
    """The reader tells all hosts that nobody has heard of these targets since."""

    suspicions: tuple[Suspicion, ...]


HostMessage = Report | Inquiry | Reply | Verdict


def encode_message(message: HostMessage) -> bytes:
    """Return a message as it is sent."""
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
    """Return suspicions as plain values."""
    return [[one.incarnation, round(one.age, 4)] for one in suspicions]


def decode_message(data: bytes) -> HostMessage | None:
    """Return the message in a datagram, None if it holds none."""
    try:
        body = loads(data)
        if "report" in body:
            return Report(decode_suspicions(body["report"]))
        if "inquiry" in body:
            return Inquiry(int(body["inquiry"]), decode_suspicions(body["of"]))
        if "reply" in body:
            answered = tuple(int(number) for number in body["answered"])
            return Reply(int(body["reply"]), answered)
        return Verdict(decode_suspicions(body["verdict"]))
    except DECODE_ERRORS:
        # Counted by who reads the socket; its sender is of another release, or none
        # of the system's hosts.
        return None


def decode_suspicions(rows: list[Any]) -> tuple[Suspicion, ...]:
    """Return suspicions from plain values; raises one of `DECODE_ERRORS`."""
    found = []
    for incarnation, age in rows[:MAX_SUSPICIONS]:
        if not 0.0 <= age <= MAX_AGE:
            raise ValueError(f"{age!r} is no age of a suspicion")
        found.append(Suspicion(int(incarnation), float(age)))
    return tuple(found)
