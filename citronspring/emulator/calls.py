"""Calls of an emulated host that wait for their answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from citronspring.tokens.messages import Unanswered

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.emulator.hosts import EmulatedHost
    from citronspring.tokens.messages import Action, ElectionAnswer, StoreAnswer

#: Seconds between two turns of a host's process when nothing wakes it.
ITERATION_INTERVAL = 0.01


@dataclass(slots=True)
class PendingCall:
    """A call under way; it ends once, by its answer or its deadline."""

    host: EmulatedHost
    boot: int
    #: Takes the answer at the end of the call.
    on_answer: Callable[[Any], list[Action]]
    ended: bool = False
    #: Whether bytes of the answer arrive; they do without a pause until its end.
    receiving: bool = False

    def expire(self) -> None:
        """Give the call up unless its answer is coming in."""
        if not self.receiving:
            self.answer(Unanswered("no answer in time"))

    def answer(self, answer: StoreAnswer | ElectionAnswer) -> None:
        """Give the core what came back, unless the call has ended."""
        host = self.host
        if self.ended or self.boot != host.boot or host.core is None:
            return
        if host.frozen:
            host.clock.after(ITERATION_INTERVAL, lambda: self.answer(answer))
            return
        self.ended = True
        host.perform(self.on_answer(answer))
