"""Bytes of the streams between daemons, at rest and at a change, against the target's bound.

One parent and one follower on loopback, through a link that counts both ways. TCP and IP
headers are added for each piece and its acknowledgement.
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
REST_SECONDS = 10.0
CHANGES = 20
CHANGE_SECONDS = 0.05  # between two changes
# Of a data segment and of its acknowledgement: IP, TCP and its time stamps.
HEADERS = 2 * 52
SERVICES = 660  # of the target in docs/CAPACITY.md, as the two below
CHANGES_PER_SECOND = 0.43
SIGNATURE_BYTES = 64
CONTROL_BOUND = Bound(most=3000.0)  # bytes a second


@dataclass(frozen=True, slots=True)
class StreamBytes:
    """What one stream carries."""

    per_second: float  # at rest
    per_change: float


def bundle(version: int) -> Bundle:
    """A bundle of the target's size; each version differs in one pool."""
    names = [f"service-{number}" for number in range(SERVICES)]
    return Bundle(
        version=version,
        workspaces=(Workspace("operator", ""),),
        services=tuple(Service(name, "operator", name) for name in names),
        pools=tuple(Pool(name=name, slots=1 + version * (name == names[0])) for name in names),
    )


def put_in_force(cache: FeedCache, version: int) -> None:
    """Take a version into the cache of the parent."""
    new = bundle(version)
    random = Random(version)
    signatures = tuple(
        Signature(operator, random.randbytes(SIGNATURE_BYTES).hex())
        for operator in ("anna", "moussa")
    )
    signed = SignedBundle(new.canonical().decode(), signatures)
    cache.store_bundle(Head(version, new.digest()), signed, new)


async def measure() -> StreamBytes:
    """The bytes of one stream, headers included."""
    cache = FeedCache()
    put_in_force(cache, 1)
    server = RelayServer(cache, PeerTls())
    await server.listen(HOST, 0)
    link = ThrottledLink(HOST, server.port, inf)
    await link.open()
    following = asyncio.create_task(_follow(link.port))
    await asyncio.sleep(1.0)
    before = _bytes_of(link)
    await asyncio.sleep(REST_SECONDS)
    per_second = (_bytes_of(link) - before) / REST_SECONDS
    before = _bytes_of(link)
    for version in range(2, 2 + CHANGES):
        put_in_force(cache, version)
        server.notify_followers()
        await asyncio.sleep(CHANGE_SECONDS)
    per_change = (_bytes_of(link) - before) / CHANGES - per_second * CHANGE_SECONDS
    following.cancel()
    await link.close()
    await server.stop()
    return StreamBytes(per_second, per_change)


def _bytes_of(link: ThrottledLink) -> int:
    """What has passed both ways, with headers."""
    return link.bytes_from_target + link.bytes_to_target + HEADERS * link.chunk_count


async def _follow(port: int) -> None:
    parent = Instance("parent", "papers", "one", HOST, 1, 2, port)
    async with aclosing(follow_parent(parent, Cursor("child"), PeerTls())) as updates:
        async for _ in updates:
            pass


def main() -> int:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_record_option(parser)
    options = parser.parse_args()
    found = asyncio.run(measure())
    stream = found.per_second + found.per_change * CHANGES_PER_SECOND
    inner = (1 + FANOUT) * stream
    figures = [
        Figure("stream at rest", "B/s", [found.per_second]),
        Figure("stream at a change", "B", [found.per_change]),
        Figure("leaf of the tree at the target", "B/s", [stream], CONTROL_BOUND),
        Figure("inner daemon at the target", "B/s", [inner], CONTROL_BOUND),
    ]
    return report("streams", figures, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
