"""Large configurations come in over small links, and the bound holds."""

from __future__ import annotations

from citronspring.emulator.loads import change_configuration
from citronspring.emulator.run import play
from citronspring.emulator.world import Sizes

#: Nine hosts on links of 5 Mbit/s, with the bounds of deployments that have such.
SMALL_LINKS = Sizes(
    hosts_per_zone=3,
    callers_per_second=10.0,
    seconds=20.0,
    download_rate=625e3,
    change_bound=5.0,
    settling=5.0,
)


def test_configuration_that_takes_a_second_to_come_in_is_in_force_in_time():
    """An accepted change drops a route; 5 s later hosts still place openings on it.

    The configuration has grown to 700 KB, and 2 s later it changes again. Each host
    gives its call up after 0.5, 1 and then 2 s, whatever has come by then, and starts
    anew; by the third try there are two versions to take in, 1.4 MB, or 2.3 s at
    5 Mbit/s. Seen on 74 of 80 hosts: 620 "no answer in time" 0.5 s after the call,
    then 10.4 MB taken in by each in 24 s, and an age of 10.7 s on openings placed.
    """
    load = change_configuration(2800, gap=2.08, changes=2)
    outcome = play(1, SMALL_LINKS, calm=True, load=load)
    assert outcome.broken == []
