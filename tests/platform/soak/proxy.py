"""A TCP proxy on loopback whose connections can be delayed, reset, cut in one
direction or silenced."""
import asyncio

CHUNK = 65536
# Modes: pass, delay, cut_up (towards the server), cut_down, silent, reset.


class Proxy:
    """Forwards one listening address to one target."""

    def __init__(self, listen, target, rng):
        self.listen, self.target, self.rng = listen, target, rng
        self.mode, self.share, self.delay = "pass", 1.0, 0.0
        self.pairs = {}
        self.server = None

    async def start(self):
        host, port = self.listen
        self.server = await asyncio.start_server(self._accept, host, port)

    def stop(self):
        self.server.close()
        for pair in list(self.pairs.values()):
            pair.abort()

    def set(self, mode, share=1.0, delay=0.0):
        """Applies a mode to a share of the connections, open and new."""
        self.mode, self.share, self.delay = mode, share, delay
        for pair in list(self.pairs.values()):
            pair.affected = self.rng.random() < share
            if mode == "reset" and pair.affected:
                pair.abort()
        if mode == "reset":
            self.mode = "pass"

    def clear(self):
        """Ends the fault; connections that lost bytes are ended too."""
        for pair in list(self.pairs.values()):
            if pair.lost:
                pair.abort()
        self.mode = "pass"

    async def _accept(self, reader, writer):
        pair = Pair(writer, self.rng.random() < self.share)
        self.pairs[id(pair)] = pair
        try:
            source, sink = await asyncio.open_connection(*self.target)
            pair.writers.append(sink)
            await asyncio.gather(self._pump(pair, reader, sink, "cut_up"),
                                 self._pump(pair, source, writer, "cut_down"))
        except OSError:
            pass
        finally:
            pair.abort()
            del self.pairs[id(pair)]

    async def _pump(self, pair, reader, writer, cut):
        while data := await reader.read(CHUNK):
            mode = self.mode if pair.affected else "pass"
            if mode in (cut, "silent"):
                pair.lost = True
                continue
            if mode == "delay":
                await asyncio.sleep(self.delay)
            if pair.lost:
                # A stream with a gap must not go on.
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


class Pair:
    """The two halves of one connection."""

    def __init__(self, writer, affected):
        self.writers, self.affected, self.lost = [writer], affected, False

    def abort(self):
        for writer in self.writers:
            writer.transport.abort()
