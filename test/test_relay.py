"""Distribution of control data between daemons: the tree, the cache and failed relays."""

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


def test_the_tree_reaches_all_daemons_without_cycles_and_with_bounded_fanout():
    order = relay_order(f"daemon-{number}" for number in range(1158))
    first_parents = [parents_of(name, order)[0] for name in order[WATCHERS:]]
    assert all(parents_of(name, order) == [] for name in order[:WATCHERS])
    for name in order[WATCHERS:]:
        assert all(order.index(p) < order.index(name) for p in parents_of(name, order))
    assert max(first_parents.count(name) for name in order) <= FANOUT
    assert depth_of(order) == 6


def test_an_unlisted_daemon_is_a_watcher():
    assert is_watcher("stranger", ["a", "b", "c"])


def test_an_update_at_any_watcher_reaches_all_running_ones():
    orders = {
        zone: relay_order(f"{zone}-{number}" for number in range(9)) for zone in ("a", "b", "c")
    }
    ring = watcher_ring(orders)
    assert sorted(ring) == sorted(
        name for order in orders.values() for name in order[:WATCHERS]
    )
    for size in range(1, len(ring) + 1):
        for running in itertools.combinations(ring, size):
            first_parents = {
                name: next(p for p in [*ring_parents_of(name, ring), name] if p in running)
                for name in running
            }
            reached = {running[0]}
            for _ in running:
                reached |= {name for name, parent in first_parents.items() if parent in reached}
            assert reached == set(running)


def test_a_watcher_follows_its_predecessors_in_the_ring():
    ring = watcher_ring({"a": ["a-1", "a-2"], "b": ["b-1"]})
    assert ring_parents_of("a-1", ring) == ["b-1", "a-2"]
    assert ring_parents_of("b-1", ring) == ["a-2", "a-1"]


def instance(name):
    return Instance(name, "papers", "one", HOST, 1, 2, 3)


def cache_with_bundles(version=1):
    cache = FeedCache()
    changes = [ListChange(n, f"papers-{n}", instance(f"papers-{n}")) for n in (1, 2)]
    cache.apply_list(2, changes, whole=True)
    for number in range(1, version + 1):
        new = bundle(BUNDLE.replace("slots = 4", f"slots = {number}"), number)
        signed = SignedBundle(new.canonical().decode())
        cache.store_bundle(Head(number, new.digest()), signed, new)
    return cache


def test_applying_a_delta_gives_the_exact_bundle():
    old = bundle()
    new = bundle(BUNDLE.replace("slots = 4", "slots = 9") + "\n[pool other]\n", 2)
    third = bundle(version=3)
    delta = delta_between(old, new, Head(2, new.digest()), ())
    assert apply_delta(old, delta) == new
    assert apply_delta(new, delta_between(new, third, Head(3, third.digest()), ())) == third
    assert len(msgspec.msgpack.encode(delta)) < len(msgspec.msgpack.encode(new))


def test_a_follower_gets_only_what_it_lacks():
    cache = cache_with_bundles(version=3)
    new_follower = cache.since(Cursor("new"))
    assert new_follower.whole and len(new_follower.changes) == 2
    assert new_follower.signed is not None
    up_to_date = cache.since(cache.cursor("same"))
    assert not up_to_date.changes and up_to_date.head is None
    behind = cache.since(Cursor("behind", bundle=1, listed=2))
    assert behind.signed is None
    assert [delta.base for delta in behind.deltas] == [1, 2]
    follower = cache_with_bundles(version=1)
    assert follower.bundle_after_deltas(behind.deltas) == cache.bundle
    assert FeedCache().bundle_after_deltas(behind.deltas) is None


def test_list_changes_reach_a_follower_in_order():
    cache = cache_with_bundles()
    cache.apply_list(5, [ListChange(5, "papers-1", None)], whole=False)
    update = cache.since(Cursor("behind", bundle=1, listed=2))
    assert not update.whole
    assert update.changes == (ListChange(5, "papers-1", None),)


def test_a_change_that_the_list_holds_already_is_ignored():
    cache = FeedCache()
    newer = msgspec.structs.replace(instance("papers-1"), incarnation=2)
    cache.apply_list(3, [ListChange(6, "papers-1", newer)], whole=True)
    repeated = [ListChange(5, "papers-1", None), ListChange(6, "papers-1", newer)]
    applied = cache.apply_list(
        6, [*repeated, ListChange(7, "papers-2", instance("papers-2"))], whole=False
    )
    assert [change.version for change in applied] == [6, 7]
    assert cache.instances["papers-1"] == newer


def test_changes_received_from_two_sources_are_applied_once():
    """Applied again, an instance that was added and removed would reappear for a moment."""
    cache = cache_with_bundles()
    added_and_removed = [ListChange(3, "c", instance("c")), ListChange(4, "c", None)]
    cache.apply_list(4, added_and_removed, whole=False)
    last = ListChange(5, "d", instance("d"))
    assert cache.apply_list(5, [*added_and_removed, last], whole=False) == [last]


async def start_zone(installation, count):
    for number in range(count):
        await installation.add(f"papers-{number}")
    await installation.release(bundle())
    await installation.ready()


def watchers_and_followers(installation):
    nodes = installation.nodes.values()
    watching = [node for node in nodes if node.daemon.feed.is_watcher]
    return watching, [node for node in nodes if not node.daemon.feed.is_watcher]


def test_only_watchers_call_the_platform(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await start_zone(installation, 7)
            watching, following = watchers_and_followers(installation)
            assert len(watching) == WATCHERS
            calls = [node.daemon.feed.client.calls for node in following]
            for version in (2, 3, 4):
                await installation.release(bundle(version=version))
                await installation.ready(version)
            assert [node.daemon.feed.client.calls for node in following] == calls

    run(main)


def test_watchers_read_deltas_and_the_whole_bundle_only_if_none_applies(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await start_zone(installation, 2)
            reads = []
            for node in installation.nodes.values():
                apply = node.daemon.feed.cache_writer.apply_stored_bundle
                node.daemon.feed.cache_writer.apply_stored_bundle = (
                    lambda head, stored, apply=apply: (
                        reads.append(head.version),
                        apply(head, stored),
                    )
                )
            await installation.release(bundle(version=2))
            await installation.ready(2)
            assert not reads
            for node in installation.nodes.values():
                node.daemon.feed.cache.bundle = bundle(version=1)  # no delta applies to it
            await installation.release(bundle(version=3))
            await installation.ready(3)
            assert sorted(reads) == [3, 3]

    run(main)


def test_followers_of_a_failed_relay_switch_to_another(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await start_zone(installation, 8)
            watching, _ = watchers_and_followers(installation)
            await eventually(lambda: _has_followers(watching[0]))
            failed_watcher = watching[0]
            del installation.nodes[failed_watcher.instance.name]
            failed_watcher.daemon.feed.relay._server.close()
            # It receives no more bundles.
            failed_watcher.daemon.feed.cache.store_bundle = lambda *update: None
            await installation.release(bundle(version=2))
            await eventually(lambda: _all_have(installation, 2))
            installation.nodes[failed_watcher.instance.name] = failed_watcher

    run(main)


async def _has_followers(node):
    return node.daemon.feed.relay.followers > 0


async def _all_have(installation, version):
    states = [node.daemon.status() for node in installation.nodes.values()]
    return all(state.version == version for state in states)


def test_a_relay_cannot_distribute_a_forged_bundle(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await start_zone(installation, 4)
            watching, following = watchers_and_followers(installation)
            forged = bundle(BUNDLE.replace("slots = 4", "slots = 4000"), 2)
            head = Head(2, forged.digest())
            signed = SignedBundle(forged.canonical().decode())
            for node in watching:
                node.daemon.feed.cache.store_bundle(head, signed, forged)
                node.daemon.feed.relay.notify_followers()
            await installation.release(bundle(version=2))
            signed_digest = bundle(version=2).digest()
            # The followers read the signed version 2 from the platform.
            await eventually(lambda: _has_digest(following, signed_digest))

    run(main)


async def _has_digest(nodes, digest):
    for node in nodes:
        node.daemon.feed.handle_version_hint(2)
    heads = [node.daemon.feed.cache.head for node in nodes]
    return all(head.digest == digest for head in heads)


def test_a_zone_keeps_its_version_during_an_outage_and_updates_after_it(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await start_zone(installation, 5)
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


VIEW_KIND = "[kind papers/view]\nrepeatable = yes\n"


def test_a_watcher_that_does_not_watch_the_list_learns_new_ports_after_its_start(tmp_path):
    """Guards against a second watcher that keeps a list with the ports of previous starts and
    refuses every request with `unreachable`.
    """

    async def main():
        async with Installation(tmp_path) as installation:
            await start_zone(installation, 2)
            await installation.release(bundle(BUNDLE + VIEW_KIND, 2))
            await installation.ready(2)
            first, second = relay_order(installation.nodes)
            for name in (first, second):
                installation.nodes[name].daemon.stop()
                await installation.nodes[name].task
            await installation.start_again(second)
            await installation.start_again(first)
            moved = {name: node.instance for name, node in installation.nodes.items()}
            cache = installation.nodes[second].daemon.feed.cache

            async def has_new_ports():
                return cache.instances == moved

            await eventually(has_new_ports)
            await installation.ready(2)
            entry = installation.nodes[second].entry
            sent = await installation.caller().send(entry, "papers", "view", once=False)
            assert sent.reason == ""

    run(main)


def test_watchers_that_follow_each_other_learn_new_ports(tmp_path, monkeypatch):
    """Guards against second watchers that keep an old list because they follow each other while
    the first watchers of both zones restart at other ports.
    """
    monkeypatch.setattr(parentfollower, "list_stale_timeout", lambda list_watch: 1.0)

    async def main():
        async with Installation(tmp_path) as installation:
            for name in ("a-0", "a-1", "b-0", "b-1"):
                await installation.add(name, zone=name[0])
            await installation.release(bundle())
            await installation.ready()
            first_watchers = [relay_order((f"{zone}-0", f"{zone}-1"))[0] for zone in "ab"]
            for name in first_watchers:
                installation.nodes[name].daemon.stop()
            await asyncio.gather(*(installation.nodes[name].task for name in first_watchers))
            for name in first_watchers:
                await installation.start_again(name)
            moved = {name: node.instance for name, node in installation.nodes.items()}

            async def have_all_new_ports():
                nodes = installation.nodes.values()
                return all(node.daemon.feed.cache.instances == moved for node in nodes)

            await eventually(have_all_new_ports)

    run(main)


@pytest.fixture
def authorities(tmp_path):
    """The TLS files of two daemons, each with its own certificate authority."""
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


def test_daemons_connect_only_to_daemons_of_their_own_authority(authorities):
    async def main():
        ours, theirs = (peer_tls(files) for files in authorities)
        server = Server(echo, ours.server)
        await server.listen(HOST, 0)
        connection = await ConnectionPool(HOST, server.port, 1, ours.client).acquire(5.0)
        await connection.start_with_body(RequestHead(b"GET", b"/a", []), b"")
        assert await (await connection.response()).body.read_up_to(10) == b"/a "
        assert await ConnectionPool(HOST, server.port, 1, theirs.client).acquire(5.0) is None
        insecure = ssl.create_default_context()
        insecure.check_hostname = False
        insecure.verify_mode = ssl.CERT_NONE
        reader, writer = await asyncio.open_connection(HOST, server.port, ssl=insecure)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        with pytest.raises((ssl.SSLError, ConnectionError)):
            if not await reader.read(100):
                raise ConnectionResetError
        writer.close()
        await server.stop(0.0)

    run(main)
