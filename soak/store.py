"""A small stand-in for the platform's store over HTTP, on real sockets."""

from __future__ import annotations

import json
import threading
from base64 import b64encode
from contextlib import contextmanager
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from time import monotonic, sleep
from urllib.parse import parse_qs, urlsplit

#: Seconds between the chunks of an answer that is sent at a limited rate.
CHUNK_SECONDS = 0.05

OK, NOT_FOUND, GONE, CONDITION_FAILED = 200, 404, 410, 412


@dataclass(frozen=True)
class StoreBackup:
    """The contents of the store at one moment."""

    revision: int
    items: dict
    values: dict
    events: list
    leases: dict


class StoreStandIn:
    """Entries with revisions; serves reads, watches and writes, or refuses calls."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        #: Incremented by each restore from a backup.
        self.epoch = 1
        self.items = {}
        #: Values before their encoding, by key.
        self.values = {}
        self.events = []
        #: HTTP status with which every call is refused; None to serve calls.
        self.outage_status = None
        #: Rate at which an answer is sent, bytes per second; None for no limit.
        self.rate = None
        self.calls = []
        #: Time to live of each lease in seconds, and the time at which it expires.
        self.leases = {}
        self.last_lease = 0

    def put(self, key, value):
        """Write an entry."""
        with self.changed:
            self.values[key] = value
            self.write_text(key, json.dumps(value))

    def put_text(self, key, text):
        """Write an entry of any text, which may be no valid JSON."""
        with self.changed:
            self.write_text(key, text)

    def write_text(self, key, text):
        """Write an entry under no lease; `changed` has to be locked."""
        self.write(key, b64encode(text.encode()).decode(), 0)

    def write(self, key, encoded, lease):
        """Write an entry under a lease; `changed` has to be locked."""
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
        """Return a backup of everything for `restore`."""
        with self.changed:
            return StoreBackup(
                self.revision,
                dict(self.items),
                dict(self.values),
                list(self.events),
                dict(self.leases),
            )

    def restore(self, backup):
        """Restore a backup; the revisions that follow it are reused.

        Everything written since the backup is lost. What operators and targets wrote,
        the user of this class has to rewrite.
        """
        with self.changed:
            self.epoch += 1
            self.revision = backup.revision
            self.items = dict(backup.items)
            self.values = dict(backup.values)
            self.events = list(backup.events)
            self.leases = dict(backup.leases)
            self.changed.notify_all()

    @property
    def headers(self):
        """Return the headers of every answer."""
        return {"Store-Era": str(self.epoch)}

    def handle_read(self, url):
        """Return the status and body of a read or watch."""
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
        """Return the status and body of a call that writes or changes a lease."""
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
        """Grant a lease."""
        self.last_lease += 1
        ttl = ttl_ms / 1000
        self.leases[self.last_lease] = ttl, monotonic() + ttl
        return OK, {"lease": self.last_lease, "ttl_ms": ttl_ms}

    def commit(self, body):
        """Apply all writes if every condition holds, and none otherwise."""
        for condition in body["expected"]:
            item = self.items.get(condition["key"], {"revision": 0})
            if item["revision"] != condition["revision"]:
                return CONDITION_FAILED, {"items": [item]}
        leases = {write["lease"] for write in body["writes"]} - {0}
        if not leases <= self.leases.keys():
            return NOT_FOUND, {}
        for write in body["writes"]:
            self.write(write["key"], write["value"], write["lease"])
        return OK, {"revision": self.revision}

    def expire_leases(self):
        """Remove expired leases, and the entries written under them."""
        expired = [one for one, (_, end) in self.leases.items() if end <= monotonic()]
        for lease in expired:
            self.leases.pop(lease, None)
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.delete(key)

    def watch(self, after, wait):
        """Wait for events above a revision, and return the body with them."""
        with self.changed:
            epoch = self.epoch
            self.changed.wait_for(
                lambda: self.revision > after or self.epoch > epoch, wait
            )
            events = [event for event in self.events if event["revision"] > after]
            return {"events": events, "store_revision": self.revision}


def body_chunks(body, rate):
    """Yield a body in chunks, at a rate in bytes per second."""
    if rate is None:
        yield body
        return
    size = max(1, int(rate * CHUNK_SECONDS))
    for start in range(0, len(body), size):
        yield body[start : start + size]
        sleep(CHUNK_SECONDS)


@contextmanager
def serve(store):
    """Serve a stand-in on loopback; yield its port."""

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

        def reply(self, status, content):
            body = json.dumps(content).encode()
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
            # A host has abandoned the call, or was killed; neither is an error here.
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
