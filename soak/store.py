"""A small stand-in of the platform's store over HTTP, on real sockets."""

from __future__ import annotations

import json
import threading
from base64 import b64encode
from contextlib import contextmanager
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from time import monotonic, sleep
from urllib.parse import parse_qs, urlsplit

#: Seconds between the pieces of an answer that goes out slowly.
CHUNK_SECONDS = 0.05

OK, NOT_FOUND, GONE, CONDITION_FAILED = 200, 404, 410, 412


@dataclass(frozen=True)
class StoreBackup:
    """What the store held at one moment."""

    revision: int
    items: dict
    values: dict
    events: list
    leases: dict


class StoreStandIn:
    """Entries with revisions; answers ranges and watches, or refuses everything."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        #: How often the store has come back from an older copy.
        self.epoch = 1
        self.items = {}
        #: Values as they were written, by key.
        self.values = {}
        self.events = []
        #: HTTP status that every call gets; None to serve.
        self.outage_status = None
        #: Bytes a second at which an answer goes out; None for all at once.
        self.rate = None
        self.calls = []
        #: Running leases: the time at which each ends.
        self.leases = {}
        self.last_lease = 0

    def put(self, key, value):
        """Write an entry."""
        with self.changed:
            self.values[key] = value
            self.write(key, b64encode(json.dumps(value).encode()).decode(), 0)

    def write(self, key, encoded, lease):
        """Write an entry under a lease; the lock is held."""
        self.revision += 1
        item = {"key": key, "value": encoded, "revision": self.revision, "lease": lease}
        self.items[key] = item
        self.events.append(item)
        self.changed.notify_all()

    def delete(self, key):
        """Remove an entry."""
        with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append(event)
            self.changed.notify_all()

    def backup(self):
        """Return a copy of everything, to come back from."""
        with self.changed:
            return StoreBackup(
                self.revision,
                dict(self.items),
                dict(self.values),
                list(self.events),
                dict(self.leases),
            )

    def restore(self, copy):
        """Come back from an older copy; its next revision is given out again.

        What was written since is gone, but for what operators and targets wrote, which
        whoever runs the store has to write again.
        """
        with self.changed:
            self.epoch += 1
            self.revision = copy.revision
            self.items = dict(copy.items)
            self.values = dict(copy.values)
            self.events = list(copy.events)
            self.leases = dict(copy.leases)
            self.changed.notify_all()

    @property
    def headers(self):
        """Return the headers that stand in all answers."""
        return {"Store-Era": str(self.epoch)}

    def handle_read(self, url):
        """Return status and body of a read."""
        self.expire_leases()
        parts = urlsplit(url)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.calls.append(parts.path)
        if self.outage_status is not None:
            return self.outage_status, {}
        if parts.path == "/api/kv-range":
            items = [self.items[key] for key in sorted(self.items)]
            body = {"items": items, "has_more": False, "store_revision": self.revision}
            return 200, body
        after, wait = int(query["after"]), int(query["wait_ms"]) / 1000
        if after > self.revision:
            return GONE, {}
        return OK, self.watch(after, wait)

    def handle_change(self, url, body):
        """Return status and body of a call that changes something."""
        self.expire_leases()
        path, _, number = url.rpartition("/")
        self.calls.append(url if url.count("/") == 2 else path)
        if self.outage_status is not None:
            return self.outage_status, {}
        with self.changed:
            if url == "/api/kv-lease":
                return self.grant(body["ttl_ms"])
            if url == "/api/kv-txn":
                return self.commit(body)
            lease = int(number)
            if lease not in self.leases:
                return NOT_FOUND, {}
            ttl, _ = self.leases[lease]
            ended = path == "/api/kv-lease-end"
            self.leases[lease] = ttl, monotonic() + (0 if ended else ttl)
            return OK, {"ttl_ms": ttl * 1000}

    def grant(self, ttl_ms):
        """Start a lease."""
        self.last_lease += 1
        ttl = ttl_ms / 1000
        self.leases[self.last_lease] = ttl, monotonic() + ttl
        return OK, {"lease": self.last_lease, "ttl_ms": ttl_ms}

    def commit(self, body):
        """Do all writes if every condition holds, else nothing."""
        for row in body["expected"]:
            found = self.items.get(row["key"], {"revision": 0})
            if found["revision"] != row["revision"]:
                return CONDITION_FAILED, {"items": [found]}
        if any(write["lease"] not in self.leases for write in body["writes"]):
            return NOT_FOUND, {}
        for write in body["writes"]:
            self.write(write["key"], write["value"], write["lease"])
        return OK, {"revision": self.revision}

    def expire_leases(self):
        """End the leases whose time is up, with what was written under them."""
        ended = [one for one, (_, end) in self.leases.items() if end <= monotonic()]
        for lease in ended:
            self.leases.pop(lease, None)
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.delete(key)

    def watch(self, after, wait):
        """Wait for events above a revision."""
        with self.changed:
            epoch = self.epoch
            self.changed.wait_for(
                lambda: self.revision > after or self.epoch > epoch, wait
            )
            events = [event for event in self.events if event["revision"] > after]
            return {"events": events, "store_revision": self.revision}


def body_chunks(body, rate):
    """Yield a body piece by piece, at a rate in bytes a second."""
    if rate is None:
        yield body
        return
    size = max(1, int(rate * CHUNK_SECONDS))
    for start in range(0, len(body), size):
        yield body[start : start + size]
        sleep(CHUNK_SECONDS)


@contextmanager
def serve(store):
    """Serve a stand-in on loopback; yields its port."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):
            self.reply(*store.handle_read(self.path))

        def do_POST(self):
            length = int(self.headers["Content-Length"] or 0)
            body = json.loads(self.rfile.read(length) or b"{}")
            self.reply(*store.handle_change(self.path, body))

        def do_DELETE(self):
            self.reply(*store.handle_change(self.path, {}))

        def reply(self, status, found):
            body = json.dumps(found).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            for name, value in store.headers.items():
                self.send_header(name, value)
            self.end_headers()
            for piece in body_chunks(body, store.rate):
                self.wfile.write(piece)

        def log_message(self, *args):
            pass

    class Server(ThreadingHTTPServer):
        def handle_error(self, request, client_address):
            # A host gave the call up, or was killed: nothing is wrong here.
            pass

    server = Server(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server.server_address[1]
    finally:
        server.shutdown()
        server.server_close()
