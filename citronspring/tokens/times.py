"""Timeouts of a host's calls, derived from its guarantees."""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from citronspring.host_settings import HostSettings

#: Largest share of the configuration bound for which a watch waits. While it waits,
#: nothing confirms the known state, and a missing route is refused only if that state
#: is younger than `CURRENT_SHARE` of the bound.
WATCH_SHARE = 0.75

#: Seconds of the settling time that must remain when a watch times out: 0.5 s of slack,
#: 0.2 s until the next call, and 0.6 s to connect and get an answer. A watch that was
#: lost in a fault is then repeated before the host counts as settled.
SETTLING_RESERVE = 1.3

#: Largest share of the configuration bound for which the watch of a zone reader waits.
#: It is shorter than that of a host that reads the store itself: if the zone reader is
#: partitioned, its followers notice it one watch later and must still read the store
#: within the bound.
ZONE_READER_WATCH_SHARE = 0.5

#: Pause in seconds between changes and the next watch of a zone reader. It is short
#: because whole zones wait for the zone reader, and one call serves all of their hosts.
ZONE_READER_PAUSE = 0.25

#: Seconds beyond its longest wait after which a zone reader counts as failed: a hundred
#: times the latency within a zone, and longer than a process waits for its processor.
FOLLOW_SLACK = 0.3

#: Share of the configuration bound for which one answer of a watch may occupy the
#: host's link. A watch transfers each version in full, a list only the newest: with
#: twenty versions of 700 KB, a watch occupied a link of 5 Mbit/s for 21 s.
WATCH_LINK_SHARE = 0.25

#: Share of the bound within which the host's state must have been confirmed for it to
#: refuse a missing route.
CURRENT_SHARE = 0.8


@record
class ReaderTimes:
    """Timeouts of calls, derived from the host's guarantees."""

    #: Seconds that a watch waits.
    wait: float
    #: Seconds after a confirmation for which the host counts as current.
    current: float
    #: Seconds that the watch of a zone reader waits.
    zone_reader_wait: float
    #: Largest number of seconds that a host waits for its zone reader.
    follow_wait: float
    #: Largest age of a zone reader's state, in seconds, at which it is followed.
    follow_age: float
    #: Size of a watch's answer in bytes beyond which everything is listed instead.
    largest_watch: float

    @classmethod
    def from_settings(cls, settings: HostSettings) -> ReaderTimes:
        """Return the timeouts for a host's settings."""
        return cls.from_bounds(
            settings.change_bound, settings.settling_time, settings.link_rate
        )

    @classmethod
    def from_bounds(
        cls, change: float, settling: float, link_rate: float = INFINITY
    ) -> ReaderTimes:
        """Return the timeouts for the given guarantees.

        Parameters
        ----------
        change : float
            Seconds within which a change of configuration must be applied.
        settling : float
            Seconds after a fault from which that holds again.
        link_rate : float
            Bandwidth of the host's link in bytes per second.
        """
        wait = max(min(WATCH_SHARE * change, settling - SETTLING_RESERVE), 0.0)
        zone_reader_wait = min(ZONE_READER_WATCH_SHARE * change, wait)
        follow_wait = zone_reader_wait + ZONE_READER_PAUSE
        return cls(
            wait,
            CURRENT_SHARE * change,
            zone_reader_wait,
            follow_wait,
            follow_wait + FOLLOW_SLACK,
            WATCH_LINK_SHARE * change * link_rate,
        )
