"""Callers that keep to no limits: crowds of connections whose requests stop short of
their end, or are far too large."""

import asyncio
import contextlib
import os

# How long a caller goes on sending to a node that does not read.
SEND_S = 10.0
PIECE_BYTES = 256 * 1024


def chunked(size: int, chunk: int) -> bytes:
    """Returns the chunks of a body of `size` bytes, without the last, empty chunk."""
    framed = f"{chunk:x}\r\n".encode() + b"x" * chunk + b"\r\n"
    return framed * (size // chunk)


class Crowd:
    """Connections to one address that stay open until close()."""

    def __init__(self, address: str):
        self.host, port = address.split(":")
        self.port = int(port)
        self.writers = []

    async def send(self, count: int, head: bytes, data: bytes = b"", times: int = 1):
        """Opens `count` connections at once. Each sends the head, then the data
        `times` times, and stays open unless the node closes it."""
        await asyncio.gather(*[self._send(head, data, times) for _ in range(count)])

    async def _send(self, head: bytes, data: bytes, times: int):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.port), SEND_S
            )
            self.writers.append(writer)
            await asyncio.wait_for(self._write(writer, head, data, times), SEND_S)

    @staticmethod
    async def _write(writer, head, data, times):
        writer.write(head)
        for _ in range(times):
            for start in range(0, len(data), PIECE_BYTES):
                writer.write(data[start : start + PIECE_BYTES])
                await writer.drain()

    def close(self):
        for writer in self.writers:
            writer.transport.abort()


def peak_mb(pid: int) -> float:
    """Returns the highest memory of a process so far; raises OSError if the process
    has ended."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    raise OSError(f"process {pid} has ended")


def descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))
