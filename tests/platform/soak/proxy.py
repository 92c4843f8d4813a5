"""A TCP proxy on loopback that can delay or reset connections or discard their
bytes in one or both directions."""
import asyncio

CHUNK = 65536
# Modes: pass, delay, cut_up (discards bytes to the server), cut_down (discards
# bytes to the client), silent (discards both), reset.


class Proxy:
    """Forwards connections from a listening address to a target address."""

    def __init__(self, listen, target, rng):
        self.listen, self.target, self.rng = listen, target, rng
        self.mode, self.share, self.delay = "pass", 1.0, 0.0
        self.connections = {}
        self.server = None

    async def start(self):
        host, port = self.listen
        self.server = await asyncio.start_server(self._accept, host, port)

    def stop(self):
        self.server.close()
        for connection in list(self.connections.values()):
            connection.abort()

    def set_fault(self, mode, share=1.0, delay=0.0):
        """Applies a mode to a share of the connections, open and new."""
        self.mode, self.share, self.delay = mode, share, delay
        for connection in list(self.connections.values()):
            connection.affected = self.rng.random() < share
            if mode == "reset" and connection.affected:
                connection.abort()
        if mode == "reset":
            self.mode = "pass"

    def clear_fault(self):
        """Ends the fault and aborts the connections that lost bytes."""
        for connection in list(self.connections.values()):
            if connection.lost_bytes:
                connection.abort()
        self.mode = "pass"

    async def _accept(self, reader, writer):
        connection = ProxiedConnection(writer, self.rng.random() < self.share)
        self.connections[id(connection)] = connection
        try:
            source, sink = await asyncio.open_connection(*self.target)
            connection.writers.append(sink)
            await asyncio.gather(self._pump(connection, reader, sink, "cut_up"),
                                 self._pump(connection, source, writer, "cut_down"))
        except OSError:
            pass
        finally:
            connection.abort()
            del self.connections[id(connection)]

    async def _pump(self, connection, reader, writer, cut):
        while data := await reader.read(CHUNK):
            mode = self.mode if connection.affected else "pass"
            if mode in (cut, "silent"):
                connection.lost_bytes = True
                continue
            if mode == "delay":
                await asyncio.sleep(self.delay)
            if connection.lost_bytes:
                # A stream with missing bytes must not continue.
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


class ProxiedConnection:
    """A connection of a client and the one that the proxy opened for it."""

    def __init__(self, writer, affected):
        self.writers, self.affected, self.lost_bytes = [writer], affected, False

    def abort(self):
        for writer in self.writers:
            writer.transport.abort()
