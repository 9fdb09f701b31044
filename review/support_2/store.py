"""The platform's store, as `PROTOCOL.md` describes it, in the stand-ins' loop."""

import base64
import json
import socket
import urllib.parse

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


class Store:
    """Items with revisions, leases and watches, over HTTP/1.1.

    Parameters
    ----------
    loop : Loop
        The stand-ins' event loop.
    ip : str
        Loopback address.
    """

    def __init__(self, loop, ip):
        self.loop = loop
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.last_lease = 7000
        self.watches = []
        self.listener = socket.create_server((ip, 0), backlog=64)
        self.listener.setblocking(False)
        self.address = "{}:{}".format(*self.listener.getsockname())
        loop.on_readable(self.listener, self.accept)

    # What servers and operators write ---------------------------------------------

    def put(self, key, value, lease=0):
        """Write an item; ``value`` is bytes or an object that is sent as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "create_rev": known["create_rev"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.publish(item)

    def delete(self, key):
        """Remove an item if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.publish({"key": key, "revision": self.revision, "deleted": True})

    def publish(self, event):
        """Record an event and answer the watches that wait for it."""
        self.events.append(event)
        waiting, self.watches = self.watches, []
        for watch in waiting:
            self.answer_watch(*watch)

    # Calls --------------------------------------------------------------------------

    def accept(self):
        """Accept a connection."""
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        Connection(self, sock)

    def call(self, connection, method, url, body):
        """Answer a call."""
        parts = urllib.parse.urlsplit(url)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/api/kv-watch":
            wait = int(query["wait_ms"]) / 1000
            deadline = self.loop.now() + wait
            watch = (connection, query.get("prefix", ""), int(query["after"]), deadline)
            self.answer_watch(*watch)
            self.loop.after(wait, self.end_watch, connection)
        else:
            self.loop.after(
                0.004, self.answer, connection, method, parts.path, query, body
            )

    def answer(self, connection, method, path, query, body):
        """Answer any call but a watch, 4 ms after it arrived."""
        status, found = self.execute(method, path, query, body)
        connection.send(status, found)

    def execute(self, method, path, query, body):
        """Return status and body of a call."""
        if path == "/api/kv-range":
            return 200, self.page(query.get("prefix", ""), query.get("after", ""))
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {"error": "no such key"})
        if path == "/api/kv-txn":
            return self.commit(body)
        if path == "/api/kv-lease":
            self.last_lease += 1
            self.extend(self.last_lease, body["ttl_ms"])
            return 200, {"lease": self.last_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        self.extend(lease, self.leases[lease][0])
        return 200, {"lease": lease, "ttl_ms": self.leases[lease][0]}

    def page(self, prefix, after):
        """Return a page of at most 500 items."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:500]],
            "has_more": len(keys) > 500,
            "store_revision": self.revision,
        }

    def commit(self, body):
        """Execute a transaction, all or nothing."""
        expected = body.get("expected", ())
        for row in expected:
            known = self.items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                items = [self.items.get(one["key"]) for one in expected]
                return 412, {"items": [item for item in items if item]}
        writes = body.get("writes", ())
        if any(one["lease"] and one["lease"] not in self.leases for one in writes):
            return 404, {"error": "no such lease"}
        for one in writes:
            self.put(one["key"], base64.b64decode(one["value"]), one["lease"])
        for key in body.get("deletes", ()):
            self.delete(key)
        return 200, {"revision": self.revision}

    def extend(self, lease, ttl_ms):
        """Let a lease run from now."""
        end = self.loop.now() + ttl_ms / 1000
        self.leases[lease] = ttl_ms, end
        self.loop.after(ttl_ms / 1000 + 0.01, self.expire, lease)

    def expire(self, lease):
        """End a lease if it was not renewed."""
        if lease in self.leases and self.leases[lease][1] <= self.loop.now():
            self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def answer_watch(self, connection, prefix, after, deadline):
        """Answer a watch if there are events or its time is over, or keep it."""
        events = [
            event
            for event in reversed_above(self.events, after)
            if event["key"].startswith(prefix)
        ]
        if events or self.loop.now() >= deadline:
            body = {"events": events, "store_revision": self.revision}
            connection.send(200, body)
        else:
            self.watches.append((connection, prefix, after, deadline))

    def end_watch(self, connection):
        """Answer the watch of a connection whose time is over."""
        waiting, self.watches = self.watches, []
        for watch in waiting:
            self.answer_watch(*watch)


def reversed_above(events, after):
    """Return the events above a revision, oldest first."""
    found = []
    for event in reversed(events):
        if event["revision"] <= after:
            break
        found.append(event)
    return found[::-1]


class Connection:
    """One connection of a host to the store."""

    def __init__(self, store, sock):
        self.store = store
        self.sock = sock
        self.buffer = b""
        store.loop.on_readable(sock, self.read)

    def read(self):
        """Read, and pass complete calls to the store."""
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            headers = dict(
                line.lower().split(": ", 1) for line in lines[1:] if ": " in line
            )
            length = int(headers.get("content-length", 0))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            method, url, _ = lines[0].split(" ")
            body = json.loads(rest[:length] or b"{}")
            self.store.call(self, method, url, body)

    def send(self, status, body):
        """Send an answer."""
        if self.sock.fileno() < 0:
            return
        data = json.dumps(body).encode()
        head = (
            f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        self.sock.setblocking(True)
        try:
            self.sock.sendall(head.encode() + data)
            self.sock.setblocking(False)
        except OSError:
            self.close()

    def close(self):
        """Close the connection."""
        if self.sock.fileno() >= 0:
            self.store.loop.forget(self.sock)
            self.sock.close()
