"""Starts a deployment with six nodes and sends requests through some of them."""

import argparse
import os
import subprocess
import time

from deployment import ROOT, Deployment, Shape, wait_until

import brennock  # deployment puts the examples on the path

QUESTION = (
    '{"model":"advisor","max_tokens":6,"stream":%s,'
    '"messages":[{"role":"user","content":"cure time of 2K primer?"}]}'
)


def curl(*words: str):
    """Prints and runs a curl command; curl prints the response."""
    print("$ curl " + " ".join(words), flush=True)
    subprocess.run(["curl", "-sS", *words], check=True)
    print("\n", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--keep", action="store_true", help="run until interrupted")
    arguments = parser.parse_args()
    shape = Shape(nodes=6, domains=3, engines_per_domain=5, group_size=2, groups=6)
    build = os.path.join(ROOT, arguments.build)
    with Deployment(build, shape) as deployment:
        applied = deployment.apply(brennock.configuration(6, 2).to_toml())
        print(applied.stdout + applied.stderr, flush=True)
        for node in range(6):
            wait_until(lambda n=node: deployment.serving("advisor", n) == 6)
            wait_until(lambda n=node: deployment.serving("booking", n) == 2)
        account = ["-H", "Authorization: Bearer brennock-shop-0"]
        urls = ["http://" + node.listen for node in deployment.nodes]
        chat_path = "/v1/chat/completions"
        curl(*account, "-d", QUESTION % "false", urls[0] + chat_path)
        curl("-N", *account, "-d", QUESTION % "true", urls[3] + chat_path)
        booking = [*account, "-H", "Idempotency-Key: booth-7", "-d", '{"booth":7}']
        curl(*booking, urls[1] + "/services/booking/bookings")
        curl("-i", *booking, urls[5] + "/services/booking/bookings")
        print(deployment.command("status").stdout)
        print(deployment.command("audit").stdout, flush=True)
        while arguments.keep:
            print("nodes: " + " ".join(urls), flush=True)
            time.sleep(3600)


if __name__ == "__main__":
    main()
