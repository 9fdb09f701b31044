"""How long calls of a host may wait, by what hosts must keep."""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY
from citronspring.records import record

#: Share of the configuration bound that a watch waits for news at most. While it
#: waits nothing confirms what is known, and a missing route is only refused on
#: knowledge that is younger than `CURRENT_SHARE` of the bound.
WATCH_SHARE = 0.75

#: Seconds of the settling time that must be left when a watch is given up: 0.5 s of
#: slack, 0.2 s to the next call, 0.6 s to connect and be answered. A watch that a
#: trouble has swallowed is then made up for before the host counts as settled.
SETTLING_RESERVE = 1.3

#: Share of the configuration bound that the watch of a zone's reader waits at most.
#: Shorter than that of a host which reads for itself: if the reader is cut off, the
#: hosts that follow it notice one watch later, and must still read within the bound.
ZONE_READER_WATCH_SHARE = 0.5

#: Seconds between news and the next watch of a zone's reader: whole zones wait for
#: what it reads, and one call serves all of their hosts.
ZONE_READER_PAUSE = 0.25

#: Seconds beyond its longest silence after which a reader counts as lost: a hundred
#: times the way within a zone, and longer than a process waits for its processor.
FOLLOW_SLACK = 0.3

#: Share of the configuration bound for which one answer of a watch may fill the
#: host's link. A watch brings each version in full, a list the newest alone: of
#: twenty versions of 700 KB, a watch kept a link of 5 Mbit/s busy for 21 s.
WATCH_LINK_SHARE = 0.25

#: Share of the bound within which what the host knows must have been confirmed for
#: it to call a route missing.
CURRENT_SHARE = 0.8


@record
class ReaderTimes:
    """Limits of calls, derived from what hosts must keep."""

    #: Seconds a watch waits.
    wait: float
    #: Seconds for which the host counts as current after a confirmation.
    current: float
    #: Seconds a watch waits at a host that reads for its zone.
    zone_reader_wait: float
    #: Seconds that a host waits for its zone's reader at most.
    follow_wait: float
    #: Oldest knowledge of a reader, in seconds, that is followed.
    follow_age: float
    #: Bytes of a watch's answer beyond which everything is listed instead.
    largest_watch: float

    @classmethod
    def from_bounds(
        cls, change: float, settling: float, link_rate: float = INFINITY
    ) -> ReaderTimes:
        """Derive the limits.

        Parameters
        ----------
        change : float
            Seconds within which a change of configuration must be in force.
        settling : float
            Seconds after a trouble from which that holds again.
        link_rate : float
            Bytes a second that the host's link carries.
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
