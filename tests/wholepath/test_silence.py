"""Connections that stay open but forward no more data are detected and replaced."""

import json
import os
import unittest

from deployment import Deployment, Shape, book, call, chat, wait_until

import brennock
from checks import content_of, runs_by_key
from proxy import SilencingProxy

BUILD = os.environ["BUILD_DIR"]


class SilenceTest(unittest.TestCase):
    def start(self, proxied_targets=False, proxied_platform=False):
        self.deployment = Deployment(BUILD, Shape(nodes=2))
        self.addCleanup(self.deployment.stop)
        self.proxies = []
        if proxied_targets:
            self.proxy_targets()
        platform = self.deployment.kv
        self.deployment.start()
        text = brennock.configuration(4, 2).to_toml()
        text = text.replace(
            "first_byte_timeout_ms = 5000", "first_byte_timeout_ms = 700"
        )
        if proxied_platform:
            proxy = SilencingProxy(platform)
            self.addCleanup(proxy.close)
            self.proxies.append(proxy)
            node = self.deployment.nodes[0]
            node.process.kill()
            node.process.wait()
            with open(node.settings) as file:
                settings = file.read().replace(platform, proxy.address)
            with open(node.settings, "w") as file:
                file.write(settings)
            self.deployment.start_node(node)
        self.text = text
        self.deployment.apply(text)
        for node in range(2):
            wait_until(lambda n=node: self.deployment.serving("advisor", n) == 4)
            wait_until(lambda n=node: self.deployment.serving("booking", n) == 2)

    def proxy_targets(self):
        """Lists a proxy in place of each target, so that nodes connect through it."""
        listing = self.deployment._listing

        def proxied():
            vms = json.loads(listing())
            for vm in vms["vms"]:
                proxy = SilencingProxy(vm["address"])
                self.addCleanup(proxy.close)
                self.proxies.append(proxy)
                vm["address"] = proxy.address
            return json.dumps(vms)

        self.deployment._listing = proxied

    def node(self, index=0):
        return self.deployment.nodes[index].listen

    def test_silent_connections_to_targets_lose_no_request(self):
        self.start(proxied_targets=True)
        expected = content_of(chat(self.node(), "silence", tokens=4)[1])
        for directions in (("up",), ("down",), ("up", "down")):
            for i in range(12):
                chat(self.node(), f"warm {i}", tokens=2)
            for proxy in self.proxies:
                proxy.silence(*directions)
            for i in range(8):
                status, body, _ = chat(self.node(), "silence", tokens=4)
                self.assertEqual(status, 200, (directions, body))
                self.assertEqual(content_of(body), expected)
            key = "silent-" + "-".join(directions)
            self.assertEqual(book(self.node(), key)[0], 200)
            self.assertEqual(runs_by_key(self.deployment.records())[key], 1)

    def test_a_silent_watch_connection_does_not_hide_a_configuration(self):
        self.start(proxied_platform=True)
        self.proxies[0].silence("up", "down")
        text = self.text.replace("Brennock Software", "Brennock after silence")
        applied = self.deployment.command("apply", "-", stdin=text)
        self.assertEqual(applied.returncode, 0, applied.stdout + applied.stderr)
        self.assertIn("in force on", applied.stdout)
        self.assertEqual(self.deployment.status(0)["configuration_version"], 2)

    def test_silent_caller_connections_do_not_exhaust_a_node(self):
        self.start()
        proxy = SilencingProxy(self.node())
        self.addCleanup(proxy.close)
        self.assertEqual(chat(proxy.address, "before")[0], 200)
        proxy.silence("down")
        self.assertEqual(chat(proxy.address, "after")[0], 200)
        self.assertEqual(call(self.deployment.nodes[0].admin, "GET", "/healthz")[0], 200)


if __name__ == "__main__":
    unittest.main()
