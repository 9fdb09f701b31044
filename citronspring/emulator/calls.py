"""Pending calls of an emulated host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from citronspring.tokens.messages import Unanswered

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.emulator.hosts import EmulatedHost
    from citronspring.tokens.messages import Action, ElectionAnswer, StoreAnswer

#: Seconds between two event-loop iterations of a host's process.
ITERATION_INTERVAL = 0.01


@dataclass(slots=True)
class PendingCall:
    """A pending call; it ends once, with its answer or at its deadline."""

    host: EmulatedHost
    boot: int
    #: Called with the answer when the call ends.
    on_answer: Callable[[Any], list[Action]]
    ended: bool = False
    #: Whether the answer is being downloaded; a download runs to its end without pause.
    receiving: bool = False

    def expire(self) -> None:
        """Time the call out unless its answer is being downloaded."""
        if not self.receiving:
            self.answer(Unanswered("no answer in time"))

    def answer(self, answer: StoreAnswer | ElectionAnswer) -> None:
        """Pass the answer to the core, unless the call has ended.

        A frozen host handles it once it runs again.
        """
        host = self.host
        if self.ended or self.boot != host.boot or host.core is None:
            return
        if host.frozen:
            host.clock.after(ITERATION_INTERVAL, lambda: self.answer(answer))
            return
        self.ended = True
        host.perform(self.on_answer(answer))
