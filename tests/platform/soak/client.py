"""A client that keeps its connections and records how each request ended."""
import asyncio
import dataclasses
import time

# The refusals that promise that the request did not run.
NOT_RUN = {404, 408, 413, 421, 429, 431, 503}


@dataclasses.dataclass
class Outcome:
    """How one request ended: a status, or 0 with a reason."""
    tag: str
    node: int
    unsafe: bool
    begun: float
    ended: float
    timeout: float
    status: int = 0
    reason: str = ""
    signature: str = ""
    body: bytes = b""


class Connection:
    """One kept connection to a node."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    def drop(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def request(self, node, method, path, tag, body, timeout, leave=None):
        """Sends a request and waits for its answer, or leaves after a time."""
        out = Outcome(tag, node, method == "POST", time.monotonic(), 0.0, timeout)
        try:
            await asyncio.wait_for(self._exchange(out, method, path, body),
                                   leave or timeout + 2.0)
        except asyncio.TimeoutError:
            out.reason = "left" if leave else "no answer"
        except (OSError, asyncio.IncompleteReadError, ValueError) as fault:
            out.reason = out.reason or f"connection ended: {fault!r}"
        out.ended = time.monotonic()
        if out.reason:
            self.drop()
        return out

    async def _exchange(self, out, method, path, body):
        if self.writer is None or self.writer.is_closing():
            try:
                self.reader, self.writer = await asyncio.open_connection(
                    self.host, self.port)
            except OSError:
                out.reason = "no connection"
                raise
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: demo.example\r\n"
            f"X-Attempt-Id: {out.tag}\r\nX-Deadline-Ms: "
            f"{int(out.timeout * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
            .encode() + body)
        await self.writer.drain()
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        out.body = await self.reader.readexactly(
            int(fields.get("content-length", "0")))
        out.signature = fields.get("x-server-signature", "")
        out.status = int(lines[0].split()[1])
        if fields.get("connection", "").lower() == "close":
            self.drop()


async def fetch(host, port, path):
    """Returns status and body of a GET on a connection of its own."""
    link = Connection(host, port)
    out = await link.request(0, "GET", path, "probe", b"", 1.0)
    link.drop()
    return out.status, out.body.decode("latin-1")
