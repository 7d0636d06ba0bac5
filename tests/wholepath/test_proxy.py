"""The tests' proxy connects to an upstream that starts to listen after it."""

import socket
import unittest

from proxy import SilencingProxy


class ProxyTest(unittest.TestCase):
    def test_an_upstream_that_starts_to_listen_later_is_reached(self):
        with socket.socket() as upstream:
            upstream.bind(("127.0.0.1", 0))
            proxy = SilencingProxy(f"127.0.0.1:{upstream.getsockname()[1]}")
            self.addCleanup(proxy.close)
            host, port = proxy.address.split(":")
            with socket.create_connection((host, int(port)), timeout=5) as early:
                self.assertEqual(early.recv(1), b"")
            upstream.listen()
            upstream.settimeout(5)
            with socket.create_connection((host, int(port)), timeout=5) as late:
                target, _ = upstream.accept()
                with target:
                    late.sendall(b"x")
                    self.assertEqual(target.recv(1), b"x")


if __name__ == "__main__":
    unittest.main()
