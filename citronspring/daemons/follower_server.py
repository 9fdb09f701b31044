"""Server for other hosts: peer snapshots, and the change feed by long polls."""

from __future__ import annotations

from citronspring.daemons.http_server import HttpServer
from citronspring.daemons.store_calls import (
    CHANGE_FEED_PATH,
    MILLISECONDS,
    SNAPSHOT_PATH,
)
from citronspring.events import NEWS_REFUSED
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.change_feed import FeedPoll
from citronspring.tokens.peer_snapshot import OK

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.daemons.http_server import ServerConnection
    from citronspring.daemons.poller import Poller
    from citronspring.endpoints import Endpoint
    from citronspring.tokens.balancer import TokenBalancer

#: Prefixes of the two numbers in a poll's query, and the most digits of each.
POLL_PREFIX = f"{CHANGE_FEED_PATH}?after="
WAIT_PREFIX = "&wait="
REVISION_DIGITS = 24
WAIT_DIGITS = 6

#: Limit on connections of other hosts: the hosts of a zone, 310 at the design size, and
#: as many again that are restarting.
MAX_FOLLOWERS = 700


class FollowerServer:
    """Answers other hosts; polls are held until there are changes.

    Parameters
    ----------
    core : TokenBalancer
        Decision core, which has the state they ask for.
    selector : Poller
        Reports when sockets are ready.
    endpoint : Endpoint
        Address to listen at.
    clock : callable
        Returns the time in seconds.
    write : callable
        Logs an event; takes its number and fields.
    """

    def __init__(
        self,
        core: TokenBalancer,
        selector: Poller,
        endpoint: Endpoint,
        clock: Callable[[], float],
        write: Callable[[int, dict[str, object]], None],
    ) -> None:
        self.core = core
        self.clock = clock
        self.write = write
        self.polls: dict[ServerConnection, FeedPoll] = {}
        self.server = HttpServer(selector, endpoint, self.answer, MAX_FOLLOWERS, write)

    def answer(
        self, path: str, connection: ServerConnection
    ) -> tuple[int, bytes] | None:
        """Return the answer to a request, None if it is held as a long poll."""
        now = self.clock()
        if path == SNAPSHOT_PATH:
            # Peer snapshots to all hosts that start together would saturate the link.
            if self.server.sending:
                return 503, b"another host is being answered\n"
            return self.core.snapshot(now)
        poll = read_poll(path, connection.host, now)
        if poll is None:
            return (
                404,
                f"ask for {SNAPSHOT_PATH} or {CHANGE_FEED_PATH}\n".encode(),
            )
        answer = self.answer_poll(poll, now)
        if answer is None:
            self.polls[connection] = poll
        return answer

    def answer_poll(self, poll: FeedPoll, now: float) -> tuple[int, bytes] | None:
        """Return the answer to a poll, None while there are no changes."""
        answer = self.core.answer_poll(poll, now)
        if answer is not None and answer[0] != OK:
            fields: dict[str, object] = {
                "status": answer[0],
                "reason": answer[1].decode().strip(),
                "after": poll.after_revision,
            }
            self.write(NEWS_REFUSED.number, fields)
        return answer

    def run(self, now: float) -> None:
        """Answer the held polls for which there are changes now."""
        self.server.run(now)
        if not self.polls:
            return
        for connection, poll in list(self.polls.items()):
            if connection.closed:
                del self.polls[connection]
                continue
            answer = self.answer_poll(poll, now)
            if answer is not None:
                del self.polls[connection]
                connection.reply(*answer)


def read_poll(path: str, host: str, now: float) -> FeedPoll | None:
    """Return the poll that a path encodes, None if it is not a poll."""
    after, _, wait = path.removeprefix(POLL_PREFIX).partition(WAIT_PREFIX)
    numbers = is_number(after, REVISION_DIGITS) and is_number(wait, WAIT_DIGITS)
    if not (path.startswith(POLL_PREFIX) and numbers):
        return None
    return FeedPoll(int(after), now, now + int(wait) / MILLISECONDS, host)


def is_number(text: str, digits: int) -> bool:
    """Whether a text is a decimal number of at most the given digits."""
    return text.isascii() and text.isdigit() and len(text) <= digits
