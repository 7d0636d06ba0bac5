"""A TCP proxy that can stop forwarding, in either direction."""

import socket
import threading


class SilencingProxy:
    """Forwards connections to an address. Silenced connections stay open but
    forward no more data; connections made later are not affected."""

    def __init__(self, upstream: str):
        host, port = upstream.split(":")
        self.upstream = (host, int(port))
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        # Number of calls of silence() so far; a connection keeps the value at its
        # start and is silenced if that is below silenced_before.
        self.generation = 0
        self.silenced_directions: set[str] = set()
        self.silenced_before = 0
        self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self, *directions: str):
        """Silences the open connections: "up" (to the upstream), "down" or both."""
        self.silenced_directions = set(directions)
        self.silenced_before = self.generation + 1
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
                # The upstream does not listen (yet): close this connection only.
                caller.close()
                continue
            self.connections += 1
            generation = self.generation
            for source, sink, direction in (
                (caller, target, "up"),
                (target, caller, "down"),
            ):
                threading.Thread(
                    target=self._pump,
                    args=(source, sink, direction, generation),
                    daemon=True,
                ).start()

    def _pump(self, source, sink, direction, generation):
        """Forwards one direction of a connection; drops the data while silenced."""
        try:
            while data := source.recv(65536):
                if (
                    generation < self.silenced_before
                    and direction in self.silenced_directions
                ):
                    continue
                sink.sendall(data)
            if not (
                generation < self.silenced_before
                and direction in self.silenced_directions
            ):
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def close(self):
        """Stops accepting connections; open ones stay."""
        self.listener.close()
