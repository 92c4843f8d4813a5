"""HTTP client with persistent connections that records how each request ended."""
import asyncio
import dataclasses
import time

# Error statuses which state that the request did not run.
NOT_RUN = {404, 408, 413, 421, 429, 431, 503}


@dataclasses.dataclass
class Outcome:
    """Result of one request: a status, or status 0 with a reason."""
    request_id: str
    node: int
    unsafe: bool
    begun: float
    ended: float
    timeout: float
    status: int = 0
    reason: str = ""
    signature: str = ""
    body: bytes = b""
    path: str = ""
    # When its first byte was written; 0 if that did not happen.
    sent: float = 0.0
    # Whether its connection had carried an answer before.
    kept: bool = False


class Connection:
    """A persistent connection to a node."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None
        self.answers = 0

    def disconnect(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None
        self.answers = 0

    async def request(self, node, method, path, request_id, body, timeout,
                      leave_after=None, fields=""):
        """Sends a request and waits for its answer. With leave_after, closes the
        connection after that many seconds without an answer. fields are further
        header lines, each with its line end."""
        outcome = Outcome(request_id, node, method == "POST", time.monotonic(),
                          0.0, timeout, path=path)
        await self._record(outcome,
                           self._exchange(outcome, method, path, body, fields),
                           leave_after or timeout + 2.0,
                           "left" if leave_after else "no answer")
        return outcome

    async def slow_request(self, node, path, request_id, body, timeout,
                           body_s, work_s):
        """Sends an unsafe request on a new connection whose body takes body_s
        seconds and whose work takes work_s seconds."""
        outcome = Outcome(request_id, node, True, time.monotonic(), 0.0,
                          timeout, path=path)

        async def exchange():
            await self._connect(outcome)
            self._write(outcome, "POST", path, body,
                        fields=f"X-Work-Ms: {int(work_s * 1000)}\r\n",
                        body_part=len(body) // 2)
            answer = asyncio.create_task(self._read(outcome))
            # A refusal may come before the body is complete.
            await asyncio.wait([answer], timeout=body_s)
            if not answer.done():
                self.writer.write(body[len(body) // 2:])
            await answer

        await self._record(outcome, exchange(), body_s + timeout + 2.0, "no answer")
        outcome.timeout += body_s
        self.disconnect()
        return outcome

    async def _record(self, outcome, exchange, limit, late):
        """Awaits an exchange and records how it ended; late is the reason if it
        takes longer than limit seconds."""
        try:
            await asyncio.wait_for(exchange, limit)
        except asyncio.TimeoutError:
            outcome.reason = late
        except (OSError, asyncio.IncompleteReadError, ValueError) as fault:
            outcome.reason = outcome.reason or f"connection ended: {fault!r}"
        outcome.ended = time.monotonic()
        if outcome.reason:
            self.disconnect()

    async def pipeline(self, node, requests, timeout):
        """Sends rows of method, path, identifier, body and whether the body is
        sent in chunks, at once, and reads the answers in this order."""
        outcomes = [Outcome(request_id, node, method == "POST", time.monotonic(),
                            0.0, timeout, path=path)
                    for method, path, request_id, _, _ in requests]

        async def exchange():
            await self._connect(outcomes[0])
            for outcome, (method, path, _, body, chunked) in zip(outcomes, requests):
                self._write(outcome, method, path, body, chunked)
            for outcome in outcomes:
                await self._read(outcome)
                outcome.ended = time.monotonic()

        reason = ""
        try:
            await asyncio.wait_for(exchange(), timeout + 2.0)
        except asyncio.TimeoutError:
            reason = "no answer"
        except (OSError, asyncio.IncompleteReadError, ValueError) as fault:
            reason = outcomes[0].reason or f"connection ended: {fault!r}"
        if reason:
            self.disconnect()
        for outcome in outcomes:
            if not outcome.ended:
                outcome.ended, outcome.reason = time.monotonic(), reason
        return outcomes

    async def _connect(self, outcome):
        if self.writer is None or self.writer.is_closing():
            self.disconnect()
            try:
                self.reader, self.writer = await asyncio.open_connection(
                    self.host, self.port)
            except OSError:
                outcome.reason = "no connection"
                raise

    def _write(self, outcome, method, path, body, chunked=False, fields="",
               body_part=None):
        outcome.sent, outcome.kept = time.monotonic(), self.answers > 0
        length = ("Transfer-Encoding: chunked" if chunked
                  else f"Content-Length: {len(body)}")
        if chunked:
            half = len(body) // 2
            body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in
                            (body[:half], body[half:]) if part) + b"0\r\n\r\n"
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: demo.example\r\n"
            f"X-Attempt-Id: {outcome.request_id}\r\nX-Deadline-Ms: "
            f"{int(outcome.timeout * 1000)}\r\n{fields}{length}\r\n\r\n"
            .encode() + body[:body_part])

    async def _read(self, outcome):
        if self.reader is None:
            raise ConnectionResetError("closed after the answer before")
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        outcome.body = await self.reader.readexactly(
            int(fields.get("content-length", "0")))
        outcome.signature = fields.get("x-server-signature", "")
        outcome.status = int(lines[0].split()[1])
        self.answers += 1
        if fields.get("connection", "").lower() == "close":
            self.disconnect()

    async def _exchange(self, outcome, method, path, body, fields=""):
        await self._connect(outcome)
        self._write(outcome, method, path, body, fields=fields)
        await self.writer.drain()
        await self._read(outcome)


async def fetch(host, port, path):
    """Sends a GET on a new connection; returns status and body."""
    connection = Connection(host, port)
    outcome = await connection.request(0, "GET", path, "probe", b"", 1.0)
    connection.disconnect()
    return outcome.status, outcome.body.decode("latin-1")
