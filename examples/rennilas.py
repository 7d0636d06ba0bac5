"""Prints the configuration of Rennilás Verkstæði's deployment at its present size."""

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
    """Returns the counter, a large dry cleaner and eight partner tailors."""
    return [
        Account("counter", hash_key("rennilas-counter"), 100.0, 100000.0, 4.0),
        Account("cleaner", hash_key("rennilas-cleaner"), 100.0, 50000.0, 2.0),
    ] + [
        Account(f"tailor-{i}", hash_key(f"rennilas-tailor-{i}"), 20.0, 10000.0, 1.0)
        for i in range(8)
    ]


def configuration(groups: int = 50, size: int = 2) -> Configuration:
    """Returns a configuration with the counter's model, on replica groups whose
    engines do not check epochs, and the bookings app, on single VMs."""
    return Configuration(
        firm="Rennilás Verkstæði",
        policy=Policy(downtime_weight=1.0, stranded_weight=4.0),
        accounts=accounts(),
        services=[
            Service(
                "counter-model",
                "chat",
                ["*"],
                [Kind("conversation"), Kind("stock-summary", priority="batch")],
                echoes_request_id=True,
                resumes_streams=True,
                objective=Objective(560, 0.95),
            ),
            Service(
                "bookings-app",
                "plain",
                ["*"],
                [
                    Kind("openings", "GET", "/openings"),
                    Kind("repair", "POST", "/repairs", idempotent=False),
                    Kind("slider", "POST", "/sliders", idempotent=False),
                ],
                role="bookings-app",
                objective=Objective(300, 0.99),
            ),
        ],
        groups=[
            GroupSet(
                "counter",
                "counter-model",
                "counter-engine",
                groups,
                size,
                checks_fencing=False,
            )
        ],
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--groups", type=int, default=50)
    parser.add_argument("--size", type=int, default=2)
    arguments = parser.parse_args()
    sys.stdout.write(configuration(arguments.groups, arguments.size).to_toml())
