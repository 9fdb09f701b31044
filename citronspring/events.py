"""The catalogue of numbered log events."""

from __future__ import annotations

import sys

from citronspring.light_stdlib import LightEnum
from citronspring.records import record


class Level(LightEnum):
    """How loud an event is; the names are structlog's."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@record
class Event:
    """One kind of log event. A number is never used again for another kind."""

    number: int
    #: Stable word for machines.
    name: str
    level: Level
    #: What happened, in one line.
    message: str
    #: What the reader can do about it; empty where nothing is to be done.
    remedy: str = ""


# 100 to 199: the process

STARTED = Event(100, "started", Level.INFO, "The process serves.")
STOPPED = Event(101, "stopped", Level.INFO, "The process has stopped.")
LEAVING = Event(
    102,
    "leaving",
    Level.INFO,
    "The host leaves: it takes no new flows and serves what is in flight until "
    "it is quiet or the deadline passes.",
)
SIGNAL = Event(103, "signal", Level.INFO, "A signal arrived.")
STATE_DUMP = Event(
    104, "state-dump", Level.INFO, "The state of the process, as asked for by SIGUSR1."
)
UNKNOWN_EVENT = Event(
    105,
    "unknown-event",
    Level.WARNING,
    "A part logged a number that is not in this catalogue.",
    "Report it: the number and its fields are in the event.",
)

# 200 to 299: configuration

REVISION_APPLIED = Event(
    200, "revision-applied", Level.INFO, "A configuration revision is in force here."
)

PLATFORM_READ_FAILED = Event(
    201,
    "platform-read-failed",
    Level.WARNING,
    "The platform could not be read; the host serves what it has and tries again.",
    "If it stays: look at the key-value service and the way to it.",
)
NOT_CONFIGURED = Event(
    202,
    "not-configured",
    Level.WARNING,
    "The host starts without configuration: neither peers nor platform gave one.",
    "Look at the key-value service and at the peers in the settings.",
)

# 300 to 399: what hosts tell each other

CONTROL_WITHOUT_KEY = Event(
    300,
    "control-without-key",
    Level.WARNING,
    "No control key is configured; all control sockets are on loopback.",
    "Set control.key_file to run hosts on more than one machine.",
)
CLOCK_JUMPED = Event(
    301,
    "clock-jumped",
    Level.WARNING,
    "The process stood still; it drops packets until it knows it is current.",
    "If it happens again: look for pauses of the machine or for too little memory.",
)
FENCE_LOWERED = Event(
    302,
    "fence-lowered",
    Level.INFO,
    "The host forwards again after its clock had jumped.",
)

# 500 to 599: the administration API

ADMIN_LISTENING = Event(
    500, "admin-listening", Level.INFO, "The administration API takes requests."
)
ADMIN_LOOPBACK_ONLY = Event(
    501,
    "admin-loopback-only",
    Level.WARNING,
    "No token is configured: the administration API listens on loopback only, and "
    "lets whoever reaches it do everything.",
    "Add [[admin.tokens]] to the settings to reach it from elsewhere.",
)
ADMIN_CLEAR_TEXT = Event(
    502,
    "admin-clear-text",
    Level.WARNING,
    "The administration API takes tokens over connections without TLS.",
    "Set admin.certificate_file and admin.key_file.",
)
CHANGE_ACCEPTED = Event(
    503, "change-accepted", Level.INFO, "An operator's change is committed."
)
CHANGE_REFUSED = Event(
    504, "change-refused", Level.INFO, "An operator's change was refused."
)
CHANGE_UNKNOWN = Event(
    505,
    "change-outcome-unknown",
    Level.WARNING,
    "The platform did not say whether an operator's change is committed.",
    "Send the change again with the same change id.",
)
REQUEST_FAILED = Event(
    506,
    "request-failed",
    Level.ERROR,
    "A request to the administration API met an error that is a fault of the program.",
    "Report it: the error is in the event.",
)
TOKEN_REFUSED = Event(
    507,
    "token-refused",
    Level.WARNING,
    "A request came without a known token, or with one whose role is too low.",
    "If it was an operator's: compare the token, and its role in the settings.",
)
CHANGES_WRITTEN_AGAIN = Event(
    508,
    "changes-written-again",
    Level.WARNING,
    "The platform had come back from an older copy; the accepted changes that it "
    "lacked are written again.",
)


# 600 to 699: flows kept by a token

OPENING_PLACED = Event(
    600, "opening-placed", Level.INFO, "An opening was sent to a target."
)
OPENING_REFUSED = Event(
    601,
    "opening-refused",
    Level.INFO,
    "An opening was reset at once; it has not run.",
    "no-route: compare the address with the configuration. no-target: look at the "
    "targets of the service. zone-drained: all of them are in zones that are drained; "
    "end a drain. overloaded: its requests would be late; add targets.",
)
FLOW_RESET = Event(
    602,
    "flow-reset",
    Level.WARNING,
    "A flow was reset, because its target is gone or out of reach.",
    "Look at the target, and at the links between its availability zone and the host.",
)
PACKET_DROPPED = Event(
    603,
    "packet-dropped",
    Level.INFO,
    "A packet of a flow went nowhere; the reason says why.",
)
CONFIGURATION_APPLIED = Event(
    610, "configuration-applied", Level.INFO, "A configuration is in force here."
)
TARGET_CHANGED = Event(
    611, "target-changed", Level.INFO, "A target has registered, or started to leave."
)
TARGET_REMOVED = Event(
    612,
    "target-removed",
    Level.INFO,
    "A target's entry is gone; it gets no new flows, those it has go on.",
)
TOKEN_TAKEN = Event(
    613,
    "token-taken",
    Level.WARNING,
    "Two targets have the same token; the later one gets no flows.",
    "Restart the target: it then has another number.",
)
ENTRY_UNREADABLE = Event(
    614,
    "entry-unreadable",
    Level.WARNING,
    "An entry of the store cannot be read; what was known before stays in force.",
    "Look at the entry; the reason names the field.",
)
TARGET_RESTARTED = Event(
    615,
    "target-restarted",
    Level.INFO,
    "A target has started again under its id; the flows it had are over.",
)
ZONE_DRAIN_CHANGED = Event(
    616,
    "zone-drain-changed",
    Level.INFO,
    "Operators drain an availability zone, or use it again.",
)
STORE_LOST = Event(
    620,
    "store-lost",
    Level.WARNING,
    "The store gives no answer; the host serves what it knows and asks again.",
    "If it stays: look at the store and at the way to it.",
)
STORE_REGAINED = Event(
    621, "store-regained", Level.INFO, "The store answers again after failures."
)
STORE_HISTORY_LOST = Event(
    622,
    "store-history-lost",
    Level.INFO,
    "The store no longer knows what has changed; everything is read anew.",
)
COPY_TAKEN = Event(
    623,
    "copy-taken",
    Level.INFO,
    "The store is away; a peer has given a copy of what it knows.",
)
READER_CHANGED = Event(
    624,
    "reader-changed",
    Level.INFO,
    "Another host, or none, reads the store for the availability zone.",
)
FOLLOWING = Event(
    625,
    "following",
    Level.INFO,
    "The host takes what the reader of its zone has read, and leaves the store alone.",
)
READER_LOST = Event(
    626,
    "reader-lost",
    Level.INFO,
    "The reader of the zone is silent, behind or gone; the host reads the store.",
    "If it stays: look at the reader that is named, and at its way to the store.",
)
LEASE_TAKEN = Event(
    627, "lease-taken", Level.INFO, "The host has a lease, to read for its zone."
)
LEASE_LOST = Event(
    628,
    "lease-lost",
    Level.INFO,
    "The lease has ended or was given up; another host may read for the zone.",
)
CALL_FAILED = Event(
    629,
    "call-failed",
    Level.INFO,
    "A call to the store or another host brought nothing that can be used.",
    "If `received` is large: the link is slow for what it has to carry.",
)
SETTINGS_READ = Event(630, "settings-read", Level.INFO, "The settings were read again.")
SETTINGS_BAD = Event(
    631,
    "settings-bad",
    Level.WARNING,
    "The settings cannot be read; those in force stay in force.",
    "Mend what the reason names.",
)
STORE_LISTED = Event(
    632,
    "store-listed",
    Level.INFO,
    "The store has been read as a whole: `revision` is the store's, `known` what the "
    "host had read up to, `epoch` and `known_epoch` how often the store had come back "
    "from an older copy by then.",
)
STORE_RESTORED = Event(
    633,
    "store-restored",
    Level.WARNING,
    "The store has come back from an older copy: what it had acknowledged since is "
    "gone, and it gives revisions out again.",
    "Compare `revision` with `known`. Targets and operators write again what is "
    "missing; make changes of the lost time again if they are not in force.",
)
NEWS_REFUSED = Event(
    640,
    "news-refused",
    Level.INFO,
    "A follower was sent to the store for what has changed.",
)
ANSWER_CUT = Event(
    641,
    "answer-cut",
    Level.INFO,
    "A connection was closed before the whole answer had gone out.",
    "If it is often the same host that asked: look at the way to it.",
)
INQUIRY_ENDED = Event(
    650,
    "inquiry-ended",
    Level.INFO,
    "The hosts of the zone were asked whether silent targets have answered them.",
    "If few reply: look at the link of the zone's reader, which asks.",
)
TARGET_LOST = Event(
    651,
    "target-lost",
    Level.WARNING,
    "No host of the zone has heard of a target that left several requests unanswered; "
    "its flows are reset where that is safe, and new ones go elsewhere.",
    "Look at the target and its link: its entry is still there.",
)
LINES_LEFT_OUT = Event(
    690,
    "lines-left-out",
    Level.WARNING,
    "Log lines of an event were left out, to bound the volume.",
)


def all_events() -> dict[int, Event]:
    """Return the events of this module by number."""
    module = sys.modules[__name__]
    found = [value for value in vars(module).values() if isinstance(value, Event)]
    return {event.number: event for event in sorted(found, key=number_of)}


def number_of(event: Event) -> int:
    """Return the number of an event, to sort by."""
    return event.number


#: Every event by number.
CATALOGUE = all_events()


def catalogue_page() -> str:
    """Return the reference page of the catalogue."""
    lines = [
        "# Log events",
        "",
        "Each log line carries the `number`, name (as `event`), `level` and `message`",
        "of one of these, and fields of its own. Numbers are never used again.",
        "",
        "This page is made from `citronspring.events` by",
        "`python -m citronspring.events > docs/reference/events.md`.",
        "",
    ]
    for event in CATALOGUE.values():
        lines += [f"## {event.number} {event.name}", "", f"*{event.level.value}.*"]
        lines += [event.message, ""]
        if event.remedy:
            lines += [f"What to do: {event.remedy}", ""]
    return "\n".join(lines)


if __name__ == "__main__":
    sys.stdout.write(catalogue_page())
