"""What ends or blocks a node's process from outside: signals and log readers."""

import os
import signal
import subprocess
import time
import unittest

from deployment import Deployment, Shape, call, chat, wait_until

import brennock

BUILD = os.environ["BUILD_DIR"]


class ProcessTest(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment(BUILD, Shape(nodes=1))
        self.deployment.start()
        self.addCleanup(self.deployment.stop)
        self.deployment.apply(brennock.configuration(4, 2).to_toml())
        wait_until(lambda: self.deployment.serving("advisor") == 4)

    def start_daemon(self, node, **descriptors):
        """Starts the daemon of a node with the given standard descriptors."""
        daemon = os.path.join(BUILD, "apricottrackd")
        node.process = subprocess.Popen([daemon, node.settings], **descriptors)
        self.deployment.processes.append(node.process)
        return node.process

    def assert_serves(self, node):
        wait_until(lambda: call(node.admin, "GET", "/healthz")[0] == 200)
        wait_until(lambda: chat(node.listen, "hello")[0] == 200)

    def test_a_log_reader_that_ends_does_not_end_the_node(self):
        node = self.deployment.add_node("entry-1", "ie-south-a")
        process = self.start_daemon(node, stdout=subprocess.PIPE)
        self.assert_serves(node)
        process.stdout.close()
        for i in range(5):
            self.assertEqual(chat(node.listen, f"unread {i}")[0], 200)
        self.assertIsNone(process.poll())

    def test_a_log_file_at_its_size_limit_does_not_end_the_node(self):
        node = self.deployment.add_node("entry-1", "ie-south-a")
        path = os.path.join(self.deployment.folder, "limited.log")
        limited = ["prlimit", "--fsize=1000"]
        daemon = os.path.join(BUILD, "apricottrackd")
        with open(path, "wb") as log:
            process = subprocess.Popen([*limited, daemon, node.settings], stdout=log)
        self.deployment.processes.append(process)
        self.assert_serves(node)
        for i in range(5):
            self.assertEqual(chat(node.listen, f"unlogged {i}")[0], 200)
        self.assertEqual(os.path.getsize(path), 1000)
        self.assertIsNone(process.poll())

    def test_signals_during_the_start_do_not_end_the_node(self):
        node = self.deployment.add_node("entry-1", "ie-south-a")
        with open(node.settings) as file:
            text = file.read()
        os.remove(node.settings)
        # The daemon waits for its settings meanwhile.
        os.mkfifo(node.settings)
        process = self.start_daemon(node, stdout=subprocess.DEVNULL)
        time.sleep(1)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
        self.assertIsNone(process.poll())
        with open(node.settings, "w") as file:
            # Settings are read again after the signal.
            os.remove(node.settings)
            with open(node.settings, "w") as settings:
                settings.write(text)
            file.write(text)
        self.assert_serves(node)
        self.assertIsNone(process.poll())

    def test_a_stop_during_the_start_is_a_planned_stop(self):
        node = self.deployment.add_node("entry-1", "ie-south-a")
        with open(node.settings) as file:
            text = file.read()
        os.remove(node.settings)
        os.mkfifo(node.settings)
        process = self.start_daemon(node, stdout=subprocess.PIPE)
        time.sleep(1)
        process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        self.assertIsNone(process.poll())
        with open(node.settings, "w") as file:
            file.write(text)
        output = process.communicate(timeout=20)[0].decode()
        self.assertIn("event=node_stopped", output)
        self.assertEqual(process.returncode, 0)

    def test_a_node_without_standard_descriptors_serves(self):
        node = self.deployment.add_node("entry-1", "ie-south-a")
        # The shell only closes the descriptors and becomes the daemon.
        command = 'exec "$0" "$1" <&- >&- 2>&-'
        daemon = os.path.join(BUILD, "apricottrackd")
        process = subprocess.Popen(["sh", "-c", command, daemon, node.settings])
        self.deployment.processes.append(process)
        self.assert_serves(node)
        for descriptor in range(3):
            target = os.readlink(f"/proc/{process.pid}/fd/{descriptor}")
            self.assertEqual(target, "/dev/null")


if __name__ == "__main__":
    unittest.main()
