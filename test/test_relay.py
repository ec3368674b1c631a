"""Control data from daemon to daemon: the tree, the cache, and relays that fail."""

import asyncio
import datetime
import ipaddress
import itertools
import ssl

import msgspec
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from wheatslip.config.deltas import apply_delta, delta_between
from wheatslip.config.head import Head
from wheatslip.config.signedbundle import SignedBundle
from wheatslip.distribution.feedcache import Cursor, FeedCache, ListChange
from wheatslip.distribution.relaytree import (
    FANOUT,
    WATCHERS,
    is_watcher,
    parents_of,
    relay_order,
    ring_parents_of,
    watcher_ring,
)
from wheatslip.store.instances import Instance
from wheatslipd.feed import parentfollower
from wheatslipd.http.messages import RequestHead
from wheatslipd.http.pool import ConnectionPool
from wheatslipd.http.server import Server
from wheatslipd.settings import TlsFiles
from wheatslipd.tls import peer_tls

from standins.cluster import HOST, eventually
from standins.platform import Faults
from test.helper import BUNDLE, Installation, bundle, run
from test.test_http import echo
from test.test_tree_model import depth_of


def test_the_tree_reaches_everyone_without_rings_and_with_bounded_fan_out():
    order = relay_order(f"daemon-{number}" for number in range(1158))
    first_parents = [parents_of(name, order)[0] for name in order[WATCHERS:]]
    assert all(parents_of(name, order) == [] for name in order[:WATCHERS])
    for name in order[WATCHERS:]:
        assert all(order.index(p) < order.index(name) for p in parents_of(name, order))
    assert max(first_parents.count(name) for name in order) <= FANOUT
    assert depth_of(order) == 6


def test_who_is_not_listed_watches_for_itself():
    assert is_watcher("stranger", ["a", "b", "c"])


def test_what_reaches_any_watcher_reaches_all_whichever_of_them_are_gone():
    orders = {
        zone: relay_order(f"{zone}-{number}" for number in range(9)) for zone in ("a", "b", "c")
    }
    ring = watcher_ring(orders)
    assert sorted(ring) == sorted(
        name for order in orders.values() for name in order[:WATCHERS]
    )
    for size in range(1, len(ring) + 1):
        for alive in itertools.combinations(ring, size):
            first = {
                name: next(p for p in [*ring_parents_of(name, ring), name] if p in alive)
                for name in alive
            }
            reached = {alive[0]}
            for _ in alive:
                reached |= {name for name, parent in first.items() if parent in reached}
            assert reached == set(alive)


def test_a_watcher_follows_those_before_it_round_the_ring():
    ring = watcher_ring({"a": ["a-1", "a-2"], "b": ["b-1"]})
    assert ring_parents_of("a-1", ring) == ["b-1", "a-2"]
    assert ring_parents_of("b-1", ring) == ["a-2", "a-1"]


def instance(name):
    return Instance(name, "papers", "one", HOST, 1, 2, 3)


def filled_cache(version=1):
    cache = FeedCache()
    changes = [ListChange(n, f"papers-{n}", instance(f"papers-{n}")) for n in (1, 2)]
    cache.apply_list(2, changes, whole=True)
    for number in range(1, version + 1):
        new = bundle(BUNDLE.replace("slots = 4", f"slots = {number}"), number)
        signed = SignedBundle(new.canonical().decode())
        cache.store_bundle(Head(number, new.digest()), signed, new)
    return cache


def test_a_difference_leads_to_the_very_bundle():
    old = bundle()
    new = bundle(BUNDLE.replace("slots = 4", "slots = 9") + "\n[pool other]\n", 2)
    back = bundle(version=3)
    forth = delta_between(old, new, Head(2, new.digest()), ())
    assert apply_delta(old, forth) == new
    assert apply_delta(new, delta_between(new, back, Head(3, back.digest()), ())) == back
    assert len(msgspec.msgpack.encode(forth)) < len(msgspec.msgpack.encode(new))


def test_a_follower_gets_what_it_lacks_and_no_more():
    cache = filled_cache(version=3)
    new_follower = cache.since(Cursor("new"))
    assert new_follower.whole and len(new_follower.changes) == 2
    assert new_follower.signed is not None
    up_to_date = cache.since(cache.cursor("same"))
    assert not up_to_date.changes and up_to_date.head is None
    behind = cache.since(Cursor("behind", bundle=1, listed=2))
    assert behind.signed is None
    assert [delta.base for delta in behind.deltas] == [1, 2]
    follower = filled_cache(version=1)
    assert follower.bundle_after_deltas(behind.deltas) == cache.bundle
    assert FeedCache().bundle_after_deltas(behind.deltas) is None


def test_list_changes_reach_a_follower_in_order():
    cache = filled_cache()
    cache.apply_list(5, [ListChange(5, "papers-1", None)], whole=False)
    update = cache.since(Cursor("behind", bundle=1, listed=2))
    assert not update.whole
    assert update.changes == (ListChange(5, "papers-1", None),)


def test_a_change_that_the_list_holds_already_sets_nothing_back():
    cache = FeedCache()
    newer = msgspec.structs.replace(instance("papers-1"), incarnation=2)
    cache.apply_list(3, [ListChange(6, "papers-1", newer)], whole=True)
    again = [ListChange(5, "papers-1", None), ListChange(6, "papers-1", newer)]
    taken = cache.apply_list(
        6, [*again, ListChange(7, "papers-2", instance("papers-2"))], whole=False
    )
    assert [change.version for change in taken] == [6, 7]
    assert cache.instances["papers-1"] == newer


def test_what_another_way_has_brought_is_not_told_again():
    """Told again, an instance that has come and gone would be back for a moment."""
    cache = filled_cache()
    came_and_went = [ListChange(3, "c", instance("c")), ListChange(4, "c", None)]
    cache.apply_list(4, came_and_went, whole=False)
    last = ListChange(5, "d", instance("d"))
    assert cache.apply_list(5, [*came_and_went, last], whole=False) == [last]


async def zone_of(installation, count):
    for number in range(count):
        await installation.add(f"papers-{number}")
    await installation.release(bundle())
    await installation.ready()


def roles(installation):
    nodes = installation.nodes.values()
    watching = [node for node in nodes if node.daemon.feed.is_watcher]
    return watching, [node for node in nodes if not node.daemon.feed.is_watcher]


def test_only_the_watchers_wait_at_the_platform(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await zone_of(installation, 7)
            watching, following = roles(installation)
            assert len(watching) == WATCHERS
            calls = [node.daemon.feed.client.calls for node in following]
            for version in (2, 3, 4):
                await installation.release(bundle(version=version))
                await installation.ready(version)
            assert [node.daemon.feed.client.calls for node in following] == calls

    run(main)


def test_watchers_read_differences_and_the_whole_only_where_one_is_missing(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await zone_of(installation, 2)
            reads = []
            for node in installation.nodes.values():
                whole = node.daemon.feed.cache_writer.apply_stored_bundle
                node.daemon.feed.cache_writer.apply_stored_bundle = (
                    lambda head, stored, whole=whole: (
                        reads.append(head.version),
                        whole(head, stored),
                    )
                )
            await installation.release(bundle(version=2))
            await installation.ready(2)
            assert not reads
            for node in installation.nodes.values():
                node.daemon.feed.cache.bundle = bundle(version=1)  # no difference fits this
            await installation.release(bundle(version=3))
            await installation.ready(3)
            assert sorted(reads) == [3, 3]

    run(main)


def test_followers_of_a_dead_relay_find_another(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await zone_of(installation, 8)
            watching, _ = roles(installation)
            await eventually(lambda: _has_followers(watching[0]))
            victim = watching[0]
            del installation.nodes[victim.instance.name]
            victim.daemon.feed.relay._server.close()
            victim.daemon.feed.cache.store_bundle = lambda *news: None  # it learns no more
            await installation.release(bundle(version=2))
            await eventually(lambda: _all_have(installation, 2))
            installation.nodes[victim.instance.name] = victim

    run(main)


async def _has_followers(node):
    return node.daemon.feed.relay.followers > 0


async def _all_have(installation, version):
    states = [node.daemon.status() for node in installation.nodes.values()]
    return all(state.version == version for state in states)


def test_a_relay_cannot_bring_in_a_bundle_of_its_own(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await zone_of(installation, 4)
            watching, following = roles(installation)
            forged = bundle(BUNDLE.replace("slots = 4", "slots = 4000"), 2)
            head = Head(2, forged.digest())
            signed = SignedBundle(forged.canonical().decode())
            for node in watching:
                node.daemon.feed.cache.store_bundle(head, signed, forged)
                node.daemon.feed.relay.notify_followers()
            await installation.release(bundle(version=2))
            real = bundle(version=2).digest()
            # The true version 2 comes by way of the platform, which the followers then ask.
            await eventually(lambda: _has_digest(following, real))

    run(main)


async def _has_digest(nodes, digest):
    for node in nodes:
        node.daemon.feed.handle_version_hint(2)
    heads = [node.daemon.feed.cache.head for node in nodes]
    return all(head.digest == digest for head in heads)


def test_a_zone_keeps_its_version_through_an_outage_and_catches_up(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await zone_of(installation, 5)
            installation.platform.faults = Faults(down=True)
            node = next(iter(installation.nodes.values()))
            calls = installation.platform.calls["read"]
            sent = await installation.caller().send(node.entry, "papers", "submit", once=True)
            assert sent.reason == ""
            assert installation.platform.calls["read"] == calls
            installation.platform.faults = Faults()
            await installation.release(bundle(version=2))
            await installation.ready(2)

    run(main)


VIEWS = "[kind papers/view]\nrepeatable = yes\n"


def test_a_reader_without_the_list_finds_daemons_that_moved_while_it_started(tmp_path):
    """What happened: the second reader of a zone started, and read the list while all that it
    was to follow, and its own entry, stood at the ports of lives before. No one brought it a
    later list, so it answered every request with `unreachable` for as long as it ran.
    """

    async def main():
        async with Installation(tmp_path) as installation:
            await zone_of(installation, 2)
            await installation.release(bundle(BUNDLE + VIEWS, 2))
            await installation.ready(2)
            first, second = relay_order(installation.nodes)
            for name in (first, second):
                installation.nodes[name].daemon.stop()
                await installation.nodes[name].task
            await installation.start_again(second)
            await installation.start_again(first)
            moved = {name: node.instance for name, node in installation.nodes.items()}
            cache = installation.nodes[second].daemon.feed.cache

            async def knows_the_new_ports():
                return cache.instances == moved

            await eventually(knows_the_new_ports)
            await installation.ready(2)
            entry = installation.nodes[second].entry
            sent = await installation.caller().send(entry, "papers", "view", once=False)
            assert sent.reason == ""

    run(main)


def test_readers_that_follow_each_other_find_daemons_that_moved(tmp_path, monkeypatch):
    """What happened: the first readers of both zones came back at other ports at once. The
    second ones, which do not watch the list, followed each other: their heads stayed fresh, and
    their list old, for as long as they ran.
    """
    monkeypatch.setattr(parentfollower, "list_stale_timeout", lambda list_watch: 1.0)

    async def main():
        async with Installation(tmp_path) as installation:
            for name in ("a-0", "a-1", "b-0", "b-1"):
                await installation.add(name, zone=name[0])
            await installation.release(bundle())
            await installation.ready()
            firsts = [relay_order((f"{zone}-0", f"{zone}-1"))[0] for zone in "ab"]
            for name in firsts:
                installation.nodes[name].daemon.stop()
            await asyncio.gather(*(installation.nodes[name].task for name in firsts))
            for name in firsts:
                await installation.start_again(name)
            moved = {name: node.instance for name, node in installation.nodes.items()}

            async def all_know_the_new_ports():
                nodes = installation.nodes.values()
                return all(node.daemon.feed.cache.instances == moved for node in nodes)

            await eventually(all_know_the_new_ports)

    run(main)


@pytest.fixture
def authorities(tmp_path):
    """Files of two daemons, each of an authority of its own."""
    return [make_tls_files(tmp_path, name) for name in ("ours", "theirs")]


def make_tls_files(folder, name):
    now = datetime.datetime.now(datetime.UTC)
    root_key, key = (ec.generate_private_key(ec.SECP256R1()) for _ in range(2))
    root_name, leaf_name = (
        x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, f"{name} {role}")])
        for role in ("authority", "daemon")
    )

    def certificate(subject, public_key, is_authority):
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(root_name)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address(HOST))]),
                critical=False,
            )
            .sign(root_key, hashes.SHA256())
        )

    files = TlsFiles(*(folder / f"{name}-{part}.pem" for part in ("cert", "key", "root")))
    pem = serialization.Encoding.PEM
    root = certificate(root_name, root_key.public_key(), True)
    files.authority.write_bytes(root.public_bytes(pem))
    leaf = certificate(leaf_name, key.public_key(), False)
    files.certificate.write_bytes(leaf.public_bytes(pem))
    files.key.write_bytes(
        key.private_bytes(pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
    )
    return files


def test_daemons_talk_only_to_those_of_their_own_authority(authorities):
    async def main():
        ours, theirs = (peer_tls(files) for files in authorities)
        server = Server(echo, ours.server)
        await server.listen(HOST, 0)
        connection = await ConnectionPool(HOST, server.port, 1, ours.client).acquire(5.0)
        await connection.start_with_body(RequestHead(b"GET", b"/a", []), b"")
        assert await (await connection.response()).body.read_up_to(10) == b"/a "
        assert await ConnectionPool(HOST, server.port, 1, theirs.client).acquire(5.0) is None
        bare = ssl.create_default_context()
        bare.check_hostname = False
        bare.verify_mode = ssl.CERT_NONE
        reader, writer = await asyncio.open_connection(HOST, server.port, ssl=bare)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        with pytest.raises((ssl.SSLError, ConnectionError)):
            if not await reader.read(100):
                raise ConnectionResetError
        writer.close()
        await server.stop(0.0)

    run(main)
