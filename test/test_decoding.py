"""Bytes that another process wrote: none raises, or hides what stands beside it."""

import json
import re
from contextlib import suppress
from pathlib import Path

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from wheatslip.config.bundle import decode_bundle
from wheatslip.config.head import Head
from wheatslip.config.zonedrains import ZoneDrains, decode_drain
from wheatslip.decoding import decode_json, split_json_array, split_json_object
from wheatslip.distribution.chunks import Chunk
from wheatslip.distribution.feedcache import Cursor, Update
from wheatslip.hop import decode_hop, decode_load, decode_notice, decode_rank, encode
from wheatslip.quota.messages import NumberedAnswer, NumberedAsk, RelayedAnswer
from wheatslip.store.instances import INSTANCE_KIND, decode_usable
from wheatslip.store.objectclient import _decode_listing
from wheatslip.store.objects import StoredObject
from wheatslipd.feed.codec import StructCodec
from wheatslipd.feed.endstore import _decode_reports
from wheatslipd.feed.relay import EndReports
from wheatslipd.http.messages import ResponseHead
from wheatslipd.http.server import Server
from wheatslipd.quota.lossstore import _decode as decode_losses
from wheatslipd.registration.registrar import decode_heartbeat as decode_own_heartbeat

from fleet_adapter.configuration import read_configuration
from fleet_adapter.heartbeats import decode_heartbeat
from fleet_adapter.store import FleetStore
from fleet_adapter.wire import KINDS, decode_changes, decode_object, decode_page
from fleet_standins.store import Change, Metadata, Object
from standins.cluster import HOST, eventually
from test.helper import bundle, run
from test.hostile_json import DEPTH, hostile, render
from test.routed_fleet import configuration, fleet

INSTANCE = {
    "name": "a",
    "pool": "papers",
    "zone": "one",
    "address": "127.0.0.1",
    "entry_port": 7001,
    "peer_port": 7002,
    "control_port": 7003,
    "incarnation": 3,
    "state": "live",
    "server": "i-1",
    "server_born": 1780000000000,
}
END = ["end", "e-1", 12.5, "papers", ["f-1", "f-2"]]
BUNDLE = json.loads(bundle().canonical())
HEARTBEAT = {
    "address": "127.0.0.1:8000",
    "born": 1780000000000,
    "info": {"service": "papers", "version": "v1", "zone": "one", "slots": 4},
    "status": {"state": "ready", "seq": 4, "cold_remaining_s": 0.5},
}
OWN_HEARTBEAT = {
    "pool": "papers",
    "address": "127.0.0.1:8000",
    "slots": 4,
    "sequence": 4,
    "state": "ready",
    "warm_in": 0.5,
    "born": 1780000000000,
}
DRAIN = {"asked_by": "anna", "since": 12.5, "signature": "00ff"}
CONFIGURATION = configuration() | {
    "tenants": {"t": {"api_keys": ["k"], "rate_per_s": 5.0, "burst": 2.0, "priority": 1}}
}
LOSSES = {"losses": [{"instance": INSTANCE, "at": 12.5, "share": 0.5}]}


def stored(value):
    return StoredObject("kind", "a", 1, msgspec.Raw(value))


# Each decoder with a valid value, and with the encoding that the value is passed on in.
JSON_DECODERS = {
    "instance": (INSTANCE, lambda data: decode_usable("a", data).ok()),
    "drain": (DRAIN, lambda data: decode_drain("one", data).ok()),
    "bundle": (BUNDLE, lambda data: decode_bundle(data).ok()),
    "head": ({"version": 3, "digest": "ab"}, lambda data: decode_json(data, Head).ok()),
    "heartbeat": (HEARTBEAT, decode_heartbeat),
    "own-heartbeat": (OWN_HEARTBEAT, decode_own_heartbeat),
    "configuration": (CONFIGURATION, lambda data: read_configuration(data).ok()),
    "server-ends": ({"reports": [END]}, lambda data: _decode_reports(stored(data))),
    "losses": (LOSSES, lambda data: decode_losses(stored(data))),
    "hop": (["w", "s", "k", True, 1.5, 3, "a", False, "", 1, None, 0.5], decode_hop),
    "load": ([1, 2, 4, 0.05, 3, False, 1.0], decode_load),
    "notice": ([["i-1", 1780000000000], 2.5, True], decode_notice),
    "rank": ([1, 2], decode_rank),
}
RELAXED = settings(
    max_examples=150, deadline=None, suppress_health_check=list(HealthCheck), database=None
)


@pytest.mark.parametrize("name", JSON_DECODERS)
def test_valid_values_of_the_fuzzed_decoders_are_read(name):
    value, decode = JSON_DECODERS[name]
    assert decode(render(value, None, None))


@pytest.mark.parametrize("name", JSON_DECODERS)
def test_no_bytes_raise_in_a_decoder_or_where_its_value_is_sent_on(name):
    """Guards against an entry of another writer that ends each daemon which reads it."""
    value, decode = JSON_DECODERS[name]

    @RELAXED
    @given(hostile(value))
    def check(data):
        decoded = decode(data)
        if decoded:
            msgspec.json.encode(decoded)
            msgspec.msgpack.encode(decoded)

    check()


MESSAGES = {
    "update": (
        Update,
        {
            "as_of": 1.5,
            "listed": 4,
            "changes": [[4, "a", INSTANCE]],
            "head": {"version": 3, "digest": "ab"},
            "drains": {"version": 4, "drains": [{"zone": "one"}]},
            "ends": [END],
            "lost": [[INSTANCE, 1.5, 0.5]],
        },
    ),
    "cursor": (Cursor, {"follower": "a", "bundle": 3, "listed": 4}),
    "chunk": (Chunk, ["text", True, False]),
    "reports": (EndReports, {"sender": "a", "reports": [END]}),
    "ask": (NumberedAsk, [1, ["a", "w", 2, 3, 5.0, 1.0]]),
    "answer": (NumberedAnswer, [1, [2, 0.5]]),
    "relayed-answer": (RelayedAnswer, [[2, 0.5], "b", True]),
}


@pytest.mark.parametrize("name", MESSAGES)
def test_no_control_message_raises_anything_but_the_decoders_error(name):
    """Guards against messages of another daemon that end a task which nobody restarts."""
    message_type, value = MESSAGES[name]
    codec = StructCodec()

    @RELAXED
    @given(hostile(value), st.integers(0, 400), st.binary(max_size=3))
    def check(data, at, inserted):
        try:
            packed = msgspec.msgpack.encode(json.loads(data))
        except (ValueError, RecursionError, OverflowError):
            packed = data  # no JSON: some bytes
        for candidate in (packed, packed[:at], packed[:at] + inserted + packed[at:]):
            with suppress(msgspec.DecodeError):
                codec.decode(candidate, message_type)

    check()
    with pytest.raises(msgspec.DecodeError):
        codec.decode(b"\x91" * 3000 + b"\x90", object)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)


@RELAXED
@given(st.lists(JSON_VALUES, max_size=5), st.booleans(), st.integers(0, 2))
def test_split_arrays_and_objects_have_the_parts_of_the_value(values, ascii_only, indent):
    data = json.dumps(values, ensure_ascii=ascii_only, indent=indent or None).encode()
    assert [json.loads(part) for part in split_json_array(data)] == values
    members = {f'{n}\\"]{{': value for n, value in enumerate(values)}
    data = json.dumps(members, ensure_ascii=ascii_only, indent=indent or None).encode()
    assert {n: json.loads(part) for n, part in split_json_object(data).items()} == members


@RELAXED
@given(st.binary(max_size=40))
def test_no_bytes_raise_when_they_are_split(data):
    for start in (b"", b"[", b"{", b'{"a":', b'["'):
        split_json_array(start + data)
        split_json_object(start + data)


def wire_object(name, rev=7):
    return {"metadata": {"name": name, "rev": rev}, "spec": INSTANCE | {"name": name}}


OBJECT = wire_object("bad")
NEIGHBOURS = [render(wire_object(name), None, None) for name in ("a", "z")]


def is_one_value(data):
    """Whether bytes are one value as far as quotes, brackets and commas go."""
    without_strings = re.sub(rb'"[^"\\]*(?:\\.[^"\\]*)*"', b"", data, flags=re.DOTALL)
    return b'"' not in without_strings and split_json_array(b"[" + data + b"]") == [data]


@RELAXED
@given(hostile(INSTANCE) | hostile(OBJECT))
def test_an_unreadable_object_costs_itself_only(data):
    """Guards against a page, or the answer of a watch, that is lost for one of its objects."""
    deep = b"[" * DEPTH + b"]" * DEPTH
    candidates = [b'{"spec":1}', b'{"metadata":{"name":7}}', deep]
    if is_one_value(data):
        candidates += [data, render(OBJECT, ("spec",), data)]
    for bad in candidates:
        items = b",".join((NEIGHBOURS[0], bad, NEIGHBOURS[1]))
        page, problems = decode_page(b'{"items":[%b],"more":true,"at":9}' % items).unwrap()
        names = [one.metadata.name for one in page.objects]
        assert (names[0], names[-1]) == ("a", "z")
        assert (page.has_more, page.version) == (True, 9)
        assert len(page.objects) + len(problems) == 3
        events = b",".join(b'{"object":%b,"gone":false}' % one for one in items_of(items))
        changes, problems = decode_changes(b'{"events":[%b],"at":9}' % events).unwrap()
        names = [change.object.metadata.name for change in changes.changes]
        assert (names[0], names[-1]) == ("a", "z")
        assert (len(names) + len(problems), changes.version) == (3, 9)


def items_of(items):
    return split_json_array(b"[" + items + b"]")


@pytest.mark.parametrize("bad", [b"[" * DEPTH + b"]" * DEPTH, b'"\\ud800x"', b"9" * 5000])
def test_objects_with_any_content_keep_their_names(bad):
    """Guards against an object that vanishes, though its name says what it replaces."""
    item = decode_object(render(OBJECT, ("spec",), bad)).unwrap()
    assert (item.metadata.name, item.metadata.version) == ("bad", 7)
    good = b'{"kind":"k","name":"a","version":4,"value":{}}'
    unreadable = b'{"kind":"k","name":"bad","version":5,"value":%b}' % bad
    listing = _decode_listing(
        b'{"version":6,"items":[%b,%b,{"name":1}]}' % (unreadable, good)
    ).unwrap()
    assert [(one.name, one.version) for one in listing.items] == [("bad", 5), ("a", 4)]


def test_a_page_without_a_readable_name_does_not_end_the_list():
    """Guards against instances that count as removed behind a page that can't be read."""

    async def answer(exchange):
        body = b'{"items":[{"metadata":{"name":7},"spec":{}}],"more":true,"at":9}'
        await exchange.respond(ResponseHead(200, []), body)

    async def scenario():
        server = Server(answer)
        await server.listen(HOST, 0)
        store = FleetStore(f"{HOST}:{server.port}")
        listing = (await store.list(INSTANCE_KIND)).unwrap()
        assert (listing.items, listing.whole, store.unreadable) == ((), False, 1)
        await store.close()
        await server.stop(0.0)

    run(scenario)


def write_raw(store, kind, name, spec):
    """Let another program write an object whose content is `spec` as it stands."""
    store.rev += 1
    entry = Object(Metadata(name, store.rev), msgspec.Raw(spec))
    store.objects[KINDS[kind], name] = entry
    store._record_change(KINDS[kind], Change(entry, gone=False))


def entry(**fields):
    return json.dumps(INSTANCE | {"name": "bad"} | fields).encode()


ENTRIES = {
    "deep": b"[" * DEPTH + b"]" * DEPTH,
    "surrogate": b'"\\ud800x"',
    "large-number": entry(incarnation=10**30),
    "large-start": entry(server_born=10**30),
    "port": entry(peer_port=70_000),
    "negative-port": entry(entry_port=-1),
    "address": entry(address="nowhere"),
    "name": entry(name="other"),
    "state": entry(state="asleep"),
    "type": entry(zone=7),
}


@pytest.mark.parametrize("form", ENTRIES)
def test_an_unusable_entry_ends_no_daemon_and_gets_no_request(form):
    """Guards against an entry of another writer that ends daemons or breaks requests."""

    async def scenario():
        async with fleet("a", "b") as installation:
            write_raw(installation.store, INSTANCE_KIND, "bad", ENTRIES[form])
            daemons = installation.daemons

            async def is_counted():
                return any(daemon.feed.unreadable_entries for daemon in daemons.values())

            await eventually(is_counted)
            for _ in range(10):
                for name in daemons:
                    assert (await installation.send_request(name))[0] == 200
            # A daemon that starts reads the whole list.
            await installation.add("c")
            await installation.ready()
            assert (await installation.send_request("c"))[0] == 200
            assert not any(installation.tasks[name].done() for name in daemons)
            for daemon in daemons.values():
                assert {"bad", "other"}.isdisjoint(daemon.feed.cache.instances)

    run(scenario)


def test_an_entry_that_becomes_unreadable_names_no_server_any_more():
    """Guards against daemons that disagree, by when they first read an entry."""

    async def scenario():
        async with fleet("a", "b") as installation:
            write_raw(installation.store, INSTANCE_KIND, "bad", entry(pool="other"))

            async def is_listed():
                listed = [d.feed.cache.instances for d in installation.daemons.values()]
                return all("bad" in instances for instances in listed)

            await eventually(is_listed)
            write_raw(installation.store, INSTANCE_KIND, "bad", b"[1, 2]")

            async def is_gone():
                listed = [d.feed.cache.instances for d in installation.daemons.values()]
                return not any("bad" in instances for instances in listed)

            await eventually(is_gone)

    run(scenario)


def test_drains_are_encoded_as_they_were_read():
    drain = decode_drain("one", render(DRAIN, None, None)).unwrap()
    assert msgspec.msgpack.encode(ZoneDrains(1, (drain,)))
    assert encode(decode_rank(b"[1,2]"))


def test_no_other_module_decodes():
    """Guards against a decoder that raises where nobody expects it."""
    folders = ("packages/wheatslip", "packages/wheatslipd", "packages/wheatslip-cli")
    files = [path for folder in folders for path in Path(folder).rglob("*.py")]
    files += Path("platform/fleet_adapter").rglob("*.py")
    pattern = re.compile(
        r"msgspec\.(json|msgpack)\.(decode|Decoder)|json\.loads|msgspec\.convert"
    )
    decoding = [path.name for path in files if pattern.search(path.read_text())]
    assert decoding == ["decoding.py"]
