"""Groups of uncontrolled clients: many connections that each send a list of
byte strings and read nothing, everything or one byte at a time."""
import dataclasses
import errno
import selectors
import socket
import time
import typing

HOST = "demo.example"
# Longest part that is passed to one system call.
SEND_BYTES = 65536


@dataclasses.dataclass
class Client:
    """What one connection does."""
    # Offset of the port from the first port of the node.
    offset: int
    pieces: typing.List[bytes]
    # Seconds between two pieces; 0 sends them as fast as they are taken.
    pause: float = 0.0
    # Bytes read at a time; 0 reads nothing.
    read_bytes: int = 0
    # Closes the connection after the last piece.
    leaves: bool = False
    # State: the socket, the piece being sent and its bytes that were sent.
    stream: typing.Optional[socket.socket] = None
    piece: int = 0
    sent: int = 0
    due: float = 0.0

    def done(self):
        return self.stream is None or self.piece >= len(self.pieces)


def head(method, path, fields="", length=None):
    """Returns the header section of a request; without length it has no body
    of stated length."""
    stated = "" if length is None else f"Content-Length: {length}\r\n"
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Deadline-Ms: 2000\r\n{fields}{stated}\r\n").encode()


def parts(data, size):
    return [data[at:at + size] for at in range(0, len(data), size)]


class ClientGroup:
    """Connects and drives all clients from one thread."""

    def __init__(self, ip, port, clients):
        self.ip, self.port, self.clients = ip, port, clients
        self.selector = selectors.DefaultSelector()

    def _connect(self, client):
        client.stream = socket.socket()
        client.stream.setblocking(False)
        client.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = client.stream.connect_ex((self.ip, self.port + client.offset))
        if code not in (0, errno.EINPROGRESS):
            client.stream.close()
            client.stream = None
            return
        self._register(client)

    def _register(self, client):
        events = 0 if client.done() else selectors.EVENT_WRITE
        events |= selectors.EVENT_READ if client.read_bytes else 0
        try:
            if events:
                self.selector.register(client.stream, events, client)
        except KeyError:
            self.selector.modify(client.stream, events, client)

    def _drop(self, client):
        try:
            self.selector.unregister(client.stream)
        except KeyError:
            pass  # It waits for neither direction.
        client.stream.close()
        client.stream = None

    def _write(self, client, now):
        """Sends what is due; returns whether anything was sent."""
        if client.done() or now < client.due:
            return False
        piece = client.pieces[client.piece]
        client.sent += client.stream.send(
            piece[client.sent:client.sent + SEND_BYTES])
        if client.sent == len(piece):
            client.piece, client.sent = client.piece + 1, 0
            client.due = now + client.pause
            if client.done() and client.leaves:
                self._drop(client)
            elif client.done():
                self.selector.unregister(client.stream)
                if client.read_bytes:
                    self.selector.register(client.stream, selectors.EVENT_READ,
                                           client)
        return True

    def run(self, seconds, quiet_s, watch):
        """Drives the clients for at most that many seconds, or until nothing
        could be sent for quiet_s seconds. watch is called all the time and ends
        the run by returning False."""
        for client in self.clients:
            self._connect(client)
        end = time.monotonic() + seconds
        last = time.monotonic()
        while watch() and time.monotonic() < min(end, last + quiet_s):
            now = time.monotonic()
            events = self.selector.select(0.02)
            for key, mask in events:
                client = key.data
                try:
                    if mask & selectors.EVENT_READ:
                        if not client.stream.recv(client.read_bytes):
                            self._drop(client)
                            continue
                    if mask & selectors.EVENT_WRITE and self._write(client, now):
                        last = time.monotonic()
                except BlockingIOError:
                    pass
                except OSError:
                    self._drop(client)
            if all(client.pause for client in self.clients):
                time.sleep(0.02)
                last = time.monotonic()
        return sum(client.stream is not None for client in self.clients)

    def close(self):
        for client in self.clients:
            if client.stream is not None:
                self._drop(client)
        self.selector.close()
