"""Measures the bytes of the streams between daemons, when idle and per configuration change.

One follower connects to one parent on loopback, through a link that counts the bytes of both
directions. TCP and IP headers are added for each piece and its acknowledgement.
"""

import argparse
import asyncio
import sys
from contextlib import aclosing
from dataclasses import dataclass
from math import inf
from random import Random

from wheatslip.config.bundle import Bundle, Pool, Service, Workspace
from wheatslip.config.head import Head
from wheatslip.config.signedbundle import Signature, SignedBundle
from wheatslip.distribution.feedcache import Cursor, FeedCache
from wheatslip.distribution.relaytree import FANOUT
from wheatslip.store.instances import Instance
from wheatslipd.feed.relay import RelayServer, follow_parent
from wheatslipd.tls import PeerTls

from bench.figures import Bound, Figure, add_record_option, report
from standins.link import ThrottledLink

HOST = "127.0.0.1"
IDLE_SECONDS = 10.0
CHANGES = 20
CHANGE_INTERVAL_SECONDS = 0.05
# IP and TCP headers with TCP timestamps, of a data segment and of its acknowledgement.
HEADER_BYTES_PER_PIECE = 2 * 52
# From the target in docs/CAPACITY.md.
SERVICES = 660
CHANGES_PER_SECOND = 0.43
SIGNATURE_BYTES = 64
STREAMS_BOUND = Bound(maximum=3000.0)  # bytes per second, of all streams of a daemon


@dataclass(frozen=True, slots=True)
class StreamBytes:
    """Bytes of one stream in both directions, with headers."""

    per_second: float  # when idle
    per_change: float


def make_bundle(version: int) -> Bundle:
    """A bundle of the target's size. Versions differ in the slots of one pool."""
    names = [f"service-{number}" for number in range(SERVICES)]
    return Bundle(
        version=version,
        workspaces=(Workspace("operator", ""),),
        services=tuple(Service(name, "operator", name) for name in names),
        pools=tuple(Pool(name=name, slots=1 + version * (name == names[0])) for name in names),
    )


def store_version(cache: FeedCache, version: int) -> None:
    bundle = make_bundle(version)
    rng = Random(version)
    signatures = tuple(
        Signature(operator, rng.randbytes(SIGNATURE_BYTES).hex())
        for operator in ("anna", "moussa")
    )
    signed = SignedBundle(bundle.canonical().decode(), signatures)
    cache.store_bundle(Head(version, bundle.digest()), signed, bundle)


async def measure_stream() -> StreamBytes:
    cache = FeedCache()
    store_version(cache, 1)
    server = RelayServer(cache, PeerTls())
    await server.listen(HOST, 0)
    link = ThrottledLink(HOST, server.port, inf)
    await link.open()
    follower = asyncio.create_task(_follow(link.port))
    await asyncio.sleep(1.0)
    before = _total_bytes(link)
    await asyncio.sleep(IDLE_SECONDS)
    per_second = (_total_bytes(link) - before) / IDLE_SECONDS
    before = _total_bytes(link)
    for version in range(2, 2 + CHANGES):
        store_version(cache, version)
        server.notify_followers()
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    per_change = (_total_bytes(link) - before) / CHANGES - per_second * CHANGE_INTERVAL_SECONDS
    follower.cancel()
    await link.close()
    await server.stop()
    return StreamBytes(per_second, per_change)


def _total_bytes(link: ThrottledLink) -> int:
    return (
        link.bytes_from_target
        + link.bytes_to_target
        + HEADER_BYTES_PER_PIECE * link.chunk_count
    )


async def _follow(port: int) -> None:
    parent = Instance("parent", "papers", "one", HOST, 1, 2, port)
    async with aclosing(follow_parent(parent, Cursor("child"), PeerTls())) as updates:
        async for _ in updates:
            pass


def main() -> int:
    """Run the benchmark and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_record_option(parser)
    options = parser.parse_args()
    stream_bytes = asyncio.run(measure_stream())
    leaf_rate = stream_bytes.per_second + stream_bytes.per_change * CHANGES_PER_SECOND
    # An inner daemon follows one parent and serves the maximum number of followers.
    inner_rate = (1 + FANOUT) * leaf_rate
    figures = [
        Figure("stream at rest", "B/s", [stream_bytes.per_second]),
        Figure("stream at a change", "B", [stream_bytes.per_change]),
        Figure("leaf of the tree at the target", "B/s", [leaf_rate], STREAMS_BOUND),
        Figure("inner daemon at the target", "B/s", [inner_rate], STREAMS_BOUND),
    ]
    return report("streams", figures, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
