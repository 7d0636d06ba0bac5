"""Describes an apricottrack configuration as dataclasses and renders it as TOML.

The output is deterministic, so that it can be kept in version control and
reviewed as a diff.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from dataclasses import dataclass, field


def hash_key(key: str) -> str:
    """Returns the SHA-256 of an account's key, as stored in the configuration."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(frozen=True)
class Account:
    """A client account; its rate limits hold for the sum over all nodes."""

    name: str
    key_sha256: str
    requests_per_second: float = 10.0
    tokens_per_second: float = 10000.0
    weight: float = 1.0


@dataclass(frozen=True)
class Kind:
    """A class of requests that a service accepts."""

    name: str
    method: str = "POST"
    path: str = "/"
    idempotent: bool = True
    priority: str = "interactive"


@dataclass(frozen=True)
class Objective:
    """Service level: the share `target` of requests, or more, gets its first token
    within `first_token_ms`."""

    first_token_ms: int = 560
    target: float = 0.95


@dataclass(frozen=True)
class Service:
    """A chat service, served by replica groups, or a plain one, by single VMs."""

    name: str
    contract: str
    accounts: list[str]
    kinds: list[Kind]
    role: str = ""
    slots_per_target: int = 8
    queue_limit: int = 256
    max_attempts: int = 3
    first_byte_timeout_ms: int = 5000
    stall_timeout_ms: int = 2000
    echoes_request_id: bool = False
    resumes_streams: bool = False
    objective: Objective = field(default_factory=Objective)


@dataclass(frozen=True)
class GroupSet:
    """Replica groups of one chat service: `count` groups of `size` VMs each."""

    name: str
    service: str
    role: str
    count: int
    size: int
    checks_fencing: bool = True


@dataclass(frozen=True)
class Policy:
    """Relative costs of group downtime and of VMs that serve in no group."""

    downtime_weight: float = 1.0
    stranded_weight: float = 1.0


@dataclass(frozen=True)
class Configuration:
    """A complete configuration, which is submitted as one version."""

    firm: str
    accounts: list[Account]
    services: list[Service]
    groups: list[GroupSet] = field(default_factory=list)
    policy: Policy = field(default_factory=Policy)

    def to_toml(self) -> str:
        """Returns the configuration as TOML for `apricottrack apply`."""
        lines: list[str] = []
        _write_table(lines, "", self)
        return "\n".join(lines).strip() + "\n"


def _write_table(lines: list[str], path: str, item) -> None:
    """Appends the fields of a dataclass, without empty strings and lists. Nested
    tables come last, because TOML would assign later fields to them."""
    nested = []
    for entry in dataclasses.fields(item):
        value = getattr(item, entry.name)
        if dataclasses.is_dataclass(value):
            nested.append((entry.name, value))
        elif isinstance(value, list) and value and dataclasses.is_dataclass(value[0]):
            nested.append((entry.name, value))
        elif not (value == "" or value == []):
            lines.append(f"{entry.name} = {_literal(value)}")
    for name, value in nested:
        inner = f"{path}.{name}" if path else name
        for child in value if isinstance(value, list) else [value]:
            header = f"[[{inner}]]" if isinstance(value, list) else f"[{inner}]"
            lines.extend(["", header])
            _write_table(lines, inner, child)


def _literal(value) -> str:
    """Returns a value as a TOML literal; a JSON string is a valid TOML string."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, list):
        return "[" + ", ".join(_literal(item) for item in value) + "]"
    return json.dumps(value, ensure_ascii=False)
