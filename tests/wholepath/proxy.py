"""A TCP proxy whose connections can be silenced in either direction."""

import socket
import threading


class SilencingProxy:
    """Forwards to an address. Silenced connections stay open and pass
    nothing more; connections made later work again."""

    def __init__(self, upstream: str):
        host, port = upstream.split(":")
        self.upstream = (host, int(port))
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.generation = 0
        self.silent_ways: set[str] = set()
        self.silent_below = 0
        self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self, *ways: str):
        """Silences present connections: "up", "down" or both."""
        self.silent_ways = set(ways)
        self.silent_below = self.generation + 1
        self.generation += 1

    def _accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            try:
                target = socket.create_connection(self.upstream)
            except OSError:
                # Not listening yet, or gone: refuse this caller alone.
                caller.close()
                continue
            self.connections += 1
            born = self.generation
            for source, sink, way in (
                (caller, target, "up"),
                (target, caller, "down"),
            ):
                threading.Thread(
                    target=self._pump, args=(source, sink, way, born), daemon=True
                ).start()

    def _pump(self, source, sink, way, born):
        try:
            while data := source.recv(65536):
                if born < self.silent_below and way in self.silent_ways:
                    continue
                sink.sendall(data)
            if not (born < self.silent_below and way in self.silent_ways):
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def close(self):
        self.listener.close()
