"""Other hosts at the door: copies, and news that they wait for."""

from __future__ import annotations

from citronspring.daemons.http_server import HttpServer
from citronspring.daemons.store_calls import COPY_PATH, MILLISECONDS, NEWS_PATH
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

#: What precedes the two numbers in the question for news, and their most digits.
NEWS_PREFIX = f"{NEWS_PATH}?after="
WAIT_PREFIX = "&wait="
REVISION_DIGITS = 24
WAIT_DIGITS = 6

#: Connections of other hosts kept at once: the hosts of a zone, 310 at the size to
#: design for, with room for as many that start anew.
MAX_FOLLOWERS = 700


class FollowerServer:
    """Answers other hosts, some of them only once there is news.

    Parameters
    ----------
    core : TokenBalancer
        Knows what they ask for.
    selector : Poller
        Tells when sockets can be read.
    endpoint : Endpoint
        Where other hosts ask.
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
        """Answer a request, or keep it until there is something to say."""
        now = self.clock()
        if path == COPY_PATH:
            # Copies to all hosts that start at once would fill the link.
            if self.server.sending:
                return 503, b"another host is being answered\n"
            return self.core.snapshot(now)
        poll = read_poll(path, connection.host, now)
        if poll is None:
            return 404, f"ask for {COPY_PATH} or {NEWS_PATH}\n".encode()
        answer = self.answer_poll(poll, now)
        if answer is None:
            self.polls[connection] = poll
        return answer

    def answer_poll(self, poll: FeedPoll, now: float) -> tuple[int, bytes] | None:
        """Return the answer to a follower, None while there is nothing to say."""
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
        """Answer those that have waited for what is known now."""
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
    """Return what a follower asks for news by, None if the path is no such question."""
    after, _, wait = path.removeprefix(NEWS_PREFIX).partition(WAIT_PREFIX)
    numbers = is_number(after, REVISION_DIGITS) and is_number(wait, WAIT_DIGITS)
    if not (path.startswith(NEWS_PREFIX) and numbers):
        return None
    return FeedPoll(int(after), now, now + int(wait) / MILLISECONDS, host)


def is_number(text: str, digits: int) -> bool:
    """Whether a text is a number of some digits at most, and nothing else."""
    return text.isascii() and text.isdigit() and len(text) <= digits
