"""Checks that read what the targets recorded, not what the system says."""

import collections
import json


def content_of(body: str) -> str:
    """The text of a plain or streamed chat answer."""
    if body.startswith("{"):
        return json.loads(body)["choices"][0]["message"]["content"]
    parts = []
    for line in body.splitlines():
        if line.startswith("data: {"):
            choice = json.loads(line[6:])["choices"][0]
            parts.append(choice["delta"]["content"])
    return "".join(parts)


def is_whole_answer(body: str, tokens: int) -> bool:
    """True if all tokens of one prompt are there, in order, and no other's."""
    words = content_of(body).split()
    owners = {word.split(".")[0] for word in words}
    places = [int(word.split(".")[1]) for word in words]
    return len(owners) == 1 and places == list(range(tokens))


def runs_by_key(records: list[dict]) -> dict[str, int]:
    """How often each idempotency key ran at any target."""
    runs = collections.Counter()
    for record in records:
        if record["event"] == "run" and record["key"]:
            runs[record["key"]] += 1
    return runs


def outcome_of(status: int, body: str, headers: dict) -> str:
    """What the caller was told: answered, not_run or outcome_unknown."""
    if status == 200:
        return "answered"
    return headers.get("X-Request-Outcome") or json.loads(body)["error"]["outcome"]
