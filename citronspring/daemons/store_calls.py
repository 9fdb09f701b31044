"""Calls of a host in token mode: to the store, to peers and to its zone reader."""

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

#: Paths at which hosts serve peer snapshots and the change feed.
SNAPSHOT_PATH = "/copy"
CHANGE_FEED_PATH = "/news"

MILLISECONDS = 1000


class StoreCalls:
    """Makes the calls that the core requests, one at a time of each kind.

    Parameters
    ----------
    core : TokenBalancer
        Decision core; it chooses the calls and receives the answers.
    selector : Poller
        Reports when connections are ready.
    settings : HostSettings
        Addresses, the host's id and its share of a processor.
    adapter : PlatformAdapter
        Adapter to the platform.
    perform : callable
        Executes actions of the core; takes the actions and the time.
    clock : callable
        Returns the time in seconds.
    prefetch : Prefetch, optional
        A call to the store that is already in progress.
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

    def adopt(self, prefetch: Prefetch) -> None:
        """Take over a prefetch as the first call that the core requests.

        Its timeout counts from now, because an answer could not be read before.
        """
        deadline = self.core.answer_deadline(prefetch.call, self.clock())

        def done(answer: HttpResponse) -> None:
            self.finish(prefetch.call, answer, prefetch.sent_at)

        self.store.adopt(prefetch.sock, deadline, done)

    def apply_settings(self, settings: HostSettings) -> None:
        """Use new settings from the next call on."""
        self.settings = settings
        self.core.tables.peers = len(settings.peers)
        self.store.endpoint = self.election.endpoint = settings.store
        self.claim_delay = claim_delay(settings.host_id, settings.processor_share)

    @property
    def reading(self) -> bool:
        """Whether a read is in progress."""
        return self.store.busy or self.peer.busy

    def next_deadline(self) -> float:
        """Return the time at which the next call is due or times out."""
        deadlines = [one.next_deadline() for one in self.clients if one.busy]
        if not self.reading:
            deadlines.append(self.core.tables.reader.call_at)
        if not self.election.busy:
            deadlines.append(self.core.next_election_deadline())
        return min(deadlines)

    def run(self, now: float) -> None:
        """Abandon calls that timed out and make the calls that are due."""
        for client in self.clients:
            client.check_deadline(now)
        if not self.reading:
            self.read(now)
        if not self.election.busy:
            self.run_election(now)

    # Reads of the configuration and targets ----------------------------------------

    def read(self, now: float) -> None:
        """Make the next read if it is due."""
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
                self.peer.send(HttpRequest("GET", SNAPSHOT_PATH), deadline, now, done)
            case FollowReader():
                self.select_host(call.endpoint)
                self.peer.send(feed_request(call), deadline, now, done)
            case _:
                request = self.adapter.encode_call(call)
                largest = self.core.largest_answer(call)
                self.store.send(request, deadline, now, done, largest)

    def finish(self, call: StoreCall, response: HttpResponse, sent_at: float) -> None:
        """Decode the answer to a read, log a failure, and pass it to the core."""
        answer = self.decode(call, response)
        self.log_failure(call, answer, sent_at)
        self.handle_store_answer(call, answer, sent_at)

    def log_failure(self, call: StoreCall, answer: StoreAnswer, sent_at: float) -> None:
        """Log a failed call with its cause and the bytes received."""
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
        """Direct the next call at another host.

        Close the idle connection to the store: it could break unnoticed, and the next
        call on it would wait out its timeout just when the other host fails and the
        store has to be read.
        """
        self.store.close()
        if self.peer.endpoint != endpoint:
            self.peer.close()
            self.peer.endpoint = endpoint

    def decode(self, call: StoreCall, response: HttpResponse) -> StoreAnswer:
        """Return the decoded answer to a read."""
        if response.status == 0:
            return (
                AnswerTooLarge()
                if response.body == TOO_LARGE
                else unanswered(response.body)
            )
        match call:
            case ReadPeer():
                return decode_snapshot(response.status, response.body)
            case FollowReader():
                return decode_feed(response.status, response.body)
            case _:
                return self.adapter.decode_answer(
                    call, response.status, response.body, response.headers
                )

    def handle_store_answer(
        self, call: StoreCall, answer: StoreAnswer, sent_at: float
    ) -> None:
        """Pass an answer to the core and execute the resulting actions."""
        now = self.clock()
        self.perform(self.core.handle_store_answer(call, answer, sent_at, now), now)

    # Election of the zone reader ---------------------------------------------------

    def run_election(self, now: float) -> None:
        """Make the next election call if it is due."""
        own_endpoint = self.settings.peer_endpoint
        call = self.core.next_election_call(own_endpoint, self.claim_delay, now)
        if call is None:
            return

        def done(response: HttpResponse) -> None:
            self.handle_election_answer(call, self.decode_election(call, response), now)

        request = self.adapter.encode_election_call(call)
        self.election.send(request, now + CALL_TIMEOUT, now, done)

    def decode_election(
        self, call: ElectionCall, response: HttpResponse
    ) -> ElectionAnswer:
        """Return the decoded answer to an election call."""
        if response.status == 0:
            return unanswered(response.body)
        return self.adapter.decode_election_answer(call, response.status, response.body)

    def handle_election_answer(
        self, call: ElectionCall, answer: ElectionAnswer, sent_at: float
    ) -> None:
        """Pass the answer to an election call to the core."""
        now = self.clock()
        actions = self.core.handle_election_answer(call, answer, sent_at, now)
        self.perform(actions, now)


def unanswered(cause: bytes) -> Unanswered:
    """Return a failed call with the cause that the client reported."""
    return Unanswered(cause.decode(errors="replace"))


def feed_request(call: FollowReader) -> HttpRequest:
    """Return the request for the zone reader's change feed."""
    wait = round(call.wait * MILLISECONDS)
    return HttpRequest(
        "GET", f"{CHANGE_FEED_PATH}?after={call.after_revision}&wait={wait}"
    )
