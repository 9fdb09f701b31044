"""Calls of a host in token mode: to the store, to peers, and to its zone's reader."""

from __future__ import annotations

from citronspring.daemons.http_client import TOO_LARGE, HttpClient
from citronspring.events import CALL_FAILED
from citronspring.http_request import HttpRequest
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.change_feed import decode_feed
from citronspring.tokens.election import CALL_TIMEOUT, claim_delay
from citronspring.tokens.messages import (
    AnswerTooLarge,
    FollowReader,
    HistoryLost,
    Log,
    ReadPeer,
    Refused,
    Unanswered,
)
from citronspring.tokens.peer_snapshot import decode_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.daemons.platform_adapter import PlatformAdapter
    from citronspring.daemons.poller import Poller
    from citronspring.daemons.prefetch import Prefetch
    from citronspring.endpoints import Endpoint
    from citronspring.host_settings import HostSettings
    from citronspring.http_request import HttpResponse
    from citronspring.tokens.balancer import TokenBalancer
    from citronspring.tokens.messages import (
        Action,
        ElectionAnswer,
        ElectionCall,
        StoreAnswer,
        StoreCall,
    )

#: Paths under which hosts give copies of what they know, and hand on what they read.
COPY_PATH = "/copy"
NEWS_PATH = "/news"

MILLISECONDS = 1000


class StoreCalls:
    """Makes the calls that the core asks for, one at a time of each kind.

    Parameters
    ----------
    core : TokenBalancer
        Decides what is called, and takes the answers.
    selector : Poller
        Tells when connections can be read or written.
    settings : HostSettings
        Addresses, the host's name and its share of a processor.
    adapter : Translation
        The adapter to the platform.
    perform : callable
        Does what the core decided; takes the actions and the time.
    clock : callable
        Returns the time in seconds.
    prefetch : Prefetch, optional
        A call to the store that is under way.
    """

    def __init__(
        self,
        core: TokenBalancer,
        selector: Poller,
        settings: HostSettings,
        adapter: PlatformAdapter,
        perform: Callable[[list[Action], float], None],
        clock: Callable[[], float],
        prefetch: Prefetch | None = None,
    ) -> None:
        self.core = core
        self.settings = settings
        self.adapter = adapter
        self.perform = perform
        self.clock = clock
        self.store = HttpClient(selector, settings.store)
        self.peer = HttpClient(selector, settings.store)
        self.election = HttpClient(selector, settings.store)
        self.clients = (self.store, self.peer, self.election)
        self.claim_delay = claim_delay(settings.host_id, settings.processor_share)
        if prefetch is not None:
            self.adopt(prefetch)

    def adopt(self, first: Prefetch) -> None:
        """Take a call that is under way for the first that the core asks for.

        Its time counts from now: nobody could have read an answer before.
        """
        deadline = self.core.answer_deadline(first.call, self.clock())

        def done(answer: HttpResponse) -> None:
            self.finish(first.call, answer, first.sent_at)

        self.store.adopt(first.sock, deadline, done)

    def apply_settings(self, settings: HostSettings) -> None:
        """Use other settings from the next call on."""
        self.settings = settings
        self.store.endpoint = self.election.endpoint = settings.store
        self.claim_delay = claim_delay(settings.host_id, settings.processor_share)

    @property
    def reading(self) -> bool:
        """Whether a call that reads is under way."""
        return self.store.busy or self.peer.busy

    def next_deadline(self) -> float:
        """Return the time at which a call is due, or is given up."""
        deadlines = [one.next_deadline() for one in self.clients if one.busy]
        if not self.reading:
            deadlines.append(self.core.tables.reader.call_at)
        if not self.election.busy:
            deadlines.append(self.core.next_election_deadline())
        return min(deadlines)

    def run(self, now: float) -> None:
        """Give up calls whose time has passed, and make those that are due."""
        for client in self.clients:
            client.check_deadline(now)
        if not self.reading:
            self.read(now)
        if not self.election.busy:
            self.run_election(now)

    # What is in force --------------------------------------------------------------

    def read(self, now: float) -> None:
        """Make the next call that reads, if it is time."""
        call = self.core.next_call(now)
        if call is None:
            return

        def done(answer: HttpResponse) -> None:
            self.finish(call, answer, now)

        deadline = self.core.answer_deadline(call, now)
        match call:
            case ReadPeer():
                peers = self.settings.peers
                self.select_host(peers[call.turn % len(peers)])
                self.peer.send(HttpRequest("GET", COPY_PATH), deadline, now, done)
            case FollowReader():
                self.select_host(call.endpoint)
                self.peer.send(news_request(call), deadline, now, done)
            case _:
                request = self.adapter.encode_call(call)
                largest = self.core.largest_answer(call)
                self.store.send(request, deadline, now, done, largest)

    def finish(self, call: StoreCall, found: HttpResponse, sent_at: float) -> None:
        """Take what came back of a call, and log it if that is nothing."""
        answer = self.decode(call, found)
        self.log_failure(call, answer, sent_at)
        self.handle_store_answer(call, answer, sent_at)

    def log_failure(self, call: StoreCall, answer: StoreAnswer, sent_at: float) -> None:
        """Log a call that brought nothing, with what had come of its answer."""
        match answer:
            case Unanswered():
                cause = answer.cause
            case Refused():
                cause = f"status {answer.status}"
            case AnswerTooLarge():
                cause = TOO_LARGE.decode()
            case HistoryLost():
                cause = "too far behind"
            case _:
                return
        asked_host = isinstance(call, (FollowReader, ReadPeer))
        client = self.peer if asked_host else self.store
        now = self.clock()
        fields: dict[str, object] = {
            "call": type(call).__name__,
            "to": str(client.endpoint),
            "cause": cause,
            "took": round(now - sent_at, 3),
            "received": client.progress.bytes_moved,
        }
        self.perform([Log(CALL_FAILED.number, fields)], now)

    def select_host(self, endpoint: Endpoint) -> None:
        """Turn to another host.

        The connection to the store is closed: unused, it may go silent unnoticed, and
        then cost the time in which the store must be read once the host is lost.
        """
        self.store.close()
        if self.peer.endpoint != endpoint:
            self.peer.close()
            self.peer.endpoint = endpoint

    def decode(self, call: StoreCall, found: HttpResponse) -> StoreAnswer:
        """Translate what came back of a call."""
        if found.status == 0:
            return (
                AnswerTooLarge() if found.body == TOO_LARGE else unanswered(found.body)
            )
        match call:
            case ReadPeer():
                return decode_snapshot(found.status, found.body)
            case FollowReader():
                return decode_feed(found.status, found.body)
            case _:
                return self.adapter.decode_answer(
                    call, found.status, found.body, found.headers
                )

    def handle_store_answer(
        self, call: StoreCall, answer: StoreAnswer, sent_at: float
    ) -> None:
        """Put in force what came back."""
        now = self.clock()
        self.perform(self.core.handle_store_answer(call, answer, sent_at, now), now)

    # Who reads for the zone ----------------------------------------------------------

    def run_election(self, now: float) -> None:
        """Make the next call for the choice of the zone's reader, if it is time."""
        own = self.settings.peer_endpoint
        call = self.core.next_election_call(own, self.claim_delay, now)
        if call is None:
            return

        def done(found: HttpResponse) -> None:
            self.handle_election_answer(call, self.decode_election(call, found), now)

        request = self.adapter.encode_election_call(call)
        self.election.send(request, now + CALL_TIMEOUT, now, done)

    def decode_election(
        self, call: ElectionCall, found: HttpResponse
    ) -> ElectionAnswer:
        """Translate what came back of such a call."""
        if found.status == 0:
            return unanswered(found.body)
        return self.adapter.decode_election_answer(call, found.status, found.body)

    def handle_election_answer(
        self, call: ElectionCall, answer: ElectionAnswer, sent_at: float
    ) -> None:
        """Take what such a call brought."""
        now = self.clock()
        actions = self.core.handle_election_answer(call, answer, sent_at, now)
        self.perform(actions, now)


def unanswered(cause: bytes) -> Unanswered:
    """Return that a call brought nothing, with the client's word on why."""
    return Unanswered(cause.decode(errors="replace"))


def news_request(call: FollowReader) -> HttpRequest:
    """Return the request for what a reader has read."""
    wait = round(call.wait * MILLISECONDS)
    return HttpRequest("GET", f"{NEWS_PATH}?after={call.after_revision}&wait={wait}")
