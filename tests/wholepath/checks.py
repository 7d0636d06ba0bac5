"""Checks on responses and on the requests that the targets recorded."""

import collections
import json


def content_of(body: str) -> str:
    """Returns the text of a plain or streamed chat response."""
    if body.startswith("{"):
        return json.loads(body)["choices"][0]["message"]["content"]
    parts = []
    for line in body.splitlines():
        if line.startswith("data: {"):
            choice = json.loads(line[6:])["choices"][0]
            parts.append(choice["delta"]["content"])
    return "".join(parts)


def is_complete_response(body: str, tokens: int) -> bool:
    """Returns whether the body holds exactly the first `tokens` tokens of the response
    to one prompt, in order."""
    words = content_of(body).split()
    prompts = {word.split(".")[0] for word in words}
    positions = [int(word.split(".")[1]) for word in words]
    return len(prompts) == 1 and positions == list(range(tokens))


def runs_by_key(records: list[dict]) -> dict[str, int]:
    """Counts the runs of each idempotency key over all targets."""
    runs = collections.Counter()
    for record in records:
        if record["event"] == "run" and record["key"]:
            runs[record["key"]] += 1
    return runs


def outcome_of(status: int, body: str, headers: dict) -> str:
    """Returns the reported outcome: answered, not_run or outcome_unknown."""
    if status == 200:
        return "answered"
    return headers.get("X-Request-Outcome") or json.loads(body)["error"]["outcome"]
