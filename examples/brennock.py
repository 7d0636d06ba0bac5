"""Prints the configuration of Brennock Software's deployment at its present size."""

import argparse
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../tools/operators"))

from apricottrack_config import (  # noqa: E402
    Account,
    Configuration,
    GroupSet,
    Kind,
    Objective,
    Policy,
    Service,
    hash_key,
)


def accounts() -> list[Account]:
    """Returns two large body shop chains and eight small shops."""
    large = [
        Account(f"chain-{i}", hash_key(f"brennock-chain-{i}"), 200.0, 200000.0, 4.0)
        for i in range(2)
    ]
    small = [
        Account(f"shop-{i}", hash_key(f"brennock-shop-{i}"), 20.0, 20000.0, 1.0)
        for i in range(8)
    ]
    return large + small


def configuration(groups: int = 50, size: int = 4) -> Configuration:
    """Returns a configuration with the advisor, on replica groups of `size` VMs, and
    the booking service, on single VMs."""
    return Configuration(
        firm="Brennock Software",
        policy=Policy(downtime_weight=3.0, stranded_weight=1.0),
        accounts=accounts(),
        services=[
            Service(
                "advisor",
                "chat",
                ["*"],
                [
                    Kind("question"),
                    Kind("job-sheet"),
                    Kind("colour-notes", priority="batch"),
                ],
                echoes_request_id=True,
                resumes_streams=True,
                objective=Objective(560, 0.95),
            ),
            Service(
                "booking",
                "plain",
                ["*"],
                [
                    Kind("slots", "GET", "/slots"),
                    Kind("confirm", "POST", "/bookings", idempotent=False),
                    Kind("cancel", "DELETE", "/bookings", idempotent=False),
                ],
                role="booking",
                echoes_request_id=True,
                objective=Objective(300, 0.99),
            ),
        ],
        groups=[GroupSet("advisor", "advisor", "advisor-engine", groups, size)],
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--groups", type=int, default=50)
    parser.add_argument("--size", type=int, default=4)
    arguments = parser.parse_args()
    sys.stdout.write(configuration(arguments.groups, arguments.size).to_toml())
