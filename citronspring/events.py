"""The catalogue of numbered log events."""

from __future__ import annotations

import sys

from citronspring.light_stdlib import LightEnum
from citronspring.records import record


class Level(LightEnum):
    """Severity of an event, by the names that structlog uses."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@record
class Event:
    """One kind of log event. A number is never reused for another kind."""

    number: int
    #: Stable name for programs.
    name: str
    level: Level
    #: What happened, in one sentence.
    message: str
    #: What the operator can do about it; empty if nothing has to be done.
    remedy: str = ""


# 100 to 199: the process

STARTED = Event(100, "started", Level.INFO, "The process is serving.")
STOPPED = Event(101, "stopped", Level.INFO, "The process has stopped.")
LEAVING = Event(
    102,
    "leaving",
    Level.INFO,
    "The host is leaving: it accepts no new flows and serves the open ones "
    "until no packets arrive for it any more or the deadline passes.",
)
SIGNAL = Event(103, "signal", Level.INFO, "A signal was received.")
STATE_DUMP = Event(
    104, "state-dump", Level.INFO, "The state of the process, requested by SIGUSR1."
)
UNKNOWN_EVENT = Event(
    105,
    "unknown-event",
    Level.WARNING,
    "An event was logged with a number that is not in this catalogue.",
    "Report it as a bug, with the number and the fields of the event.",
)

# 200 to 299: configuration

REVISION_APPLIED = Event(
    200,
    "revision-applied",
    Level.INFO,
    "The host has applied a configuration revision.",
)

PLATFORM_READ_FAILED = Event(
    201,
    "platform-read-failed",
    Level.WARNING,
    "Reading the platform failed; the host serves its current state and retries.",
    "If it persists, check the key-value service and the network path to it.",
)
NOT_CONFIGURED = Event(
    202,
    "not-configured",
    Level.WARNING,
    "The host starts without a configuration; neither peers nor the platform had one.",
    "Check the key-value service and the peers in the settings.",
)

# 300 to 399: communication between hosts

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
    "The process stalled; it drops packets until its state is confirmed current.",
    "If it recurs, check the machine for stalls and for memory shortage.",
)
FENCE_LOWERED = Event(
    302,
    "fence-lowered",
    Level.INFO,
    "The host forwards packets again after a clock jump.",
)

# 500 to 599: the administration API

ADMIN_LISTENING = Event(
    500, "admin-listening", Level.INFO, "The administration API accepts requests."
)
ADMIN_LOOPBACK_ONLY = Event(
    501,
    "admin-loopback-only",
    Level.WARNING,
    "No token is configured: the administration API listens on loopback only, and "
    "anyone who can connect to it has full access.",
    "Add [[admin.tokens]] to the settings to allow access from other machines.",
)
ADMIN_CLEAR_TEXT = Event(
    502,
    "admin-clear-text",
    Level.WARNING,
    "The administration API accepts tokens over connections without TLS.",
    "Set admin.certificate_file and admin.key_file.",
)
CHANGE_ACCEPTED = Event(
    503, "change-accepted", Level.INFO, "An operator's change was committed."
)
CHANGE_REFUSED = Event(
    504, "change-refused", Level.INFO, "An operator's change was refused."
)
CHANGE_UNKNOWN = Event(
    505,
    "change-outcome-unknown",
    Level.WARNING,
    "The platform did not confirm whether an operator's change was committed.",
    "Repeat the change with the same change id.",
)
REQUEST_FAILED = Event(
    506,
    "request-failed",
    Level.ERROR,
    "A request to the administration API failed with an internal error.",
    "Report it as a bug, with the error in the event.",
)
TOKEN_REFUSED = Event(
    507,
    "token-refused",
    Level.WARNING,
    "A request had no valid token, or one whose role lacks the permission.",
    "If an operator sent it, check the token and its role in the settings.",
)
CHANGES_WRITTEN_AGAIN = Event(
    508,
    "changes-written-again",
    Level.WARNING,
    "The platform was restored from a backup; accepted changes that it lacked "
    "are rewritten.",
)


# 600 to 699: token mode

OPENING_PLACED = Event(
    600, "opening-placed", Level.INFO, "An opening was sent to a target."
)
OPENING_REFUSED = Event(
    601,
    "opening-refused",
    Level.INFO,
    "An opening was refused with a reset; its request was not executed.",
    "no-route: compare the address with the configuration. no-target: check the "
    "targets of the service. zone-drained: all of them are in drained zones; "
    "end a drain. overloaded: its requests would miss their latency objective; "
    "add targets. host-busy: the host's own link has no room for it; add hosts or "
    "give them larger links.",
)
FLOW_RESET = Event(
    602,
    "flow-reset",
    Level.WARNING,
    "A flow was reset because its target was removed or is unreachable.",
    "Check the target, and the links between its availability zone and the host.",
)
PACKET_DROPPED = Event(
    603,
    "packet-dropped",
    Level.INFO,
    "A packet was dropped for the given reason.",
)
CONFIGURATION_APPLIED = Event(
    610, "configuration-applied", Level.INFO, "The host has applied a configuration."
)
TARGET_CHANGED = Event(
    611, "target-changed", Level.INFO, "A target has registered, or is leaving."
)
TARGET_REMOVED = Event(
    612,
    "target-removed",
    Level.INFO,
    "A target's entry was removed; it receives no new flows, open ones continue.",
)
TOKEN_TAKEN = Event(
    613,
    "token-taken",
    Level.WARNING,
    "Two targets have the same token; the later one receives no flows.",
    "Restart the target; its id then has another number, which gives another token.",
)
ENTRY_UNREADABLE = Event(
    614,
    "entry-unreadable",
    Level.WARNING,
    "An entry of the store is invalid; the last valid one remains in effect.",
    "Check the entry; the reason gives the field.",
)
TARGET_RESTARTED = Event(
    615,
    "target-restarted",
    Level.INFO,
    "A target has restarted under its id; its earlier flows have ended.",
)
ZONE_DRAIN_CHANGED = Event(
    616,
    "zone-drain-changed",
    Level.INFO,
    "The drain of an availability zone has started or ended.",
)
SERVICE_REPLACED = Event(
    617,
    "service-replaced",
    Level.INFO,
    "A route no longer names a service; packets of its open flows are forwarded for "
    "`kept_for` seconds more.",
)
SERVICE_FORGOTTEN = Event(
    618,
    "service-forgotten",
    Level.INFO,
    "A former service of a route is forgotten; packets with its tokens are dropped.",
)
STORE_LOST = Event(
    620,
    "store-lost",
    Level.WARNING,
    "The store does not respond; the host serves its current state and retries.",
    "If it persists, check the store and the network path to it.",
)
STORE_REGAINED = Event(
    621, "store-regained", Level.INFO, "The store responds again after failures."
)
STORE_HISTORY_LOST = Event(
    622,
    "store-history-lost",
    Level.INFO,
    "The store no longer has the requested history; the host lists it completely.",
)
COPY_TAKEN = Event(
    623,
    "copy-taken",
    Level.INFO,
    "The store is unreachable; the host applied a peer snapshot.",
)
READER_CHANGED = Event(
    624,
    "reader-changed",
    Level.INFO,
    "The zone reader, which reads the store for the availability zone, has changed; "
    "there may be none.",
)
FOLLOWING = Event(
    625,
    "following",
    Level.INFO,
    "The host follows the reader of its zone instead of reading the store.",
)
READER_LOST = Event(
    626,
    "reader-lost",
    Level.INFO,
    "The zone reader is unresponsive, behind or removed; the host reads the store.",
    "If it persists, check the given reader and its network path to the store.",
)
LEASE_TAKEN = Event(
    627, "lease-taken", Level.INFO, "The host holds the lease of its zone's reader."
)
LEASE_LOST = Event(
    628,
    "lease-lost",
    Level.INFO,
    "The lease of the zone's reader expired or was released; another host may take it.",
)
CALL_FAILED = Event(
    629,
    "call-failed",
    Level.INFO,
    "A call to the store or to another host failed.",
    "If `received` is large, the link is too slow for its traffic.",
)
SETTINGS_READ = Event(630, "settings-read", Level.INFO, "The settings were reloaded.")
SETTINGS_BAD = Event(
    631,
    "settings-bad",
    Level.WARNING,
    "The settings could not be reloaded; the previous ones remain in effect.",
    "Correct the problem given as the reason.",
)
STORE_LISTED = Event(
    632,
    "store-listed",
    Level.INFO,
    "The store was listed completely: `revision` is the store's, `known` the one the "
    "host had read up to; `epoch` and `known_epoch` are the numbers of restores from "
    "a backup that belong to them.",
)
STORE_RESTORED = Event(
    633,
    "store-restored",
    Level.WARNING,
    "The store was restored from a backup: changes acknowledged since the backup "
    "are lost, and revisions are reused.",
    "Compare `revision` with `known`. Targets and operators rewrite missing entries; "
    "repeat changes made since the backup that are not in effect.",
)
HISTORY_WRITTEN = Event(
    634,
    "route-history-written",
    Level.INFO,
    "The host recorded current and former services of routes in the store.",
)
HISTORY_WRITE_FAILED = Event(
    635,
    "route-history-write-failed",
    Level.INFO,
    "The host could not record the services of routes in the store; it tries again "
    "with what is still missing.",
    "`another host was first` needs nothing. If another cause persists, check the "
    "store.",
)
NEWS_REFUSED = Event(
    640,
    "news-refused",
    Level.INFO,
    "A follower's poll of the change feed was refused; the follower reads the store.",
)
ANSWER_CUT = Event(
    641,
    "answer-cut",
    Level.INFO,
    "A connection was closed before the whole answer was sent.",
    "If it is often the same host, check the network path to it.",
)
INQUIRY_ENDED = Event(
    650,
    "inquiry-ended",
    Level.INFO,
    "The hosts of the zone were asked whether unresponsive targets have answered them.",
    "If few hosts reply, check the link of the zone reader, which asks them.",
)
TARGET_LOST = Event(
    651,
    "target-lost",
    Level.WARNING,
    "A target left several requests unanswered, and no host of the zone has received "
    "an answer from it; its flows are reset where that is safe, and new flows go to "
    "other targets.",
    "Check the target and its link; its entry still exists.",
)
LINK_STATE_CHANGED = Event(
    660,
    "link-state-changed",
    Level.INFO,
    "The host's own link has become nearly full, or is no longer. While it is, missing "
    "answers are no evidence against targets.",
    "If it is often full, give the host a larger link or add hosts.",
)
LINES_LEFT_OUT = Event(
    690,
    "lines-left-out",
    Level.WARNING,
    "Log lines of an event were omitted to limit the volume.",
)


def all_events() -> dict[int, Event]:
    """Return the events of this module by number."""
    module = sys.modules[__name__]
    found = [value for value in vars(module).values() if isinstance(value, Event)]
    return {event.number: event for event in sorted(found, key=number_of)}


def number_of(event: Event) -> int:
    """Return the number of an event, as a sort key."""
    return event.number


#: Every event by number.
CATALOGUE = all_events()


def catalogue_page() -> str:
    """Return the reference page of the catalogue."""
    lines = [
        "# Log events",
        "",
        "Each log line carries the `number`, name (as `event`), `level` and `message`",
        "of one of these, and fields of its own. Numbers are never reused.",
        "",
        "This page is generated from `citronspring.events` by",
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
