"""Settings of the daemon, its log lines and its traces."""

import io
from random import Random

from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter
from wheatslip.config.ini import Problems, read_ini
from wheatslipd.run import uses_io_uring
from wheatslipd.settings import LogLevel, default_text, parse_settings
from wheatslipd.telemetry.logs import KeyValueDestination, render
from wheatslipd.telemetry.tracing import HopTracer

VALID_SETTINGS = """
[daemon]
name = papers-1
zone = wien-a
pool = papers
[peer]
plain-text = yes
[backend]
port = 8000
[platform]
address = 127.0.0.1:9000
[operators]
keyring = keys
"""


# Keys for which an empty value does not mean the default.
KEYS_WITHOUT_EMPTY_DEFAULT = {
    ("daemon", "address"),
    ("backend", "address"),
    ("backend", "health-path"),
}


def test_valid_settings_override_the_defaults():
    settings = parse_settings(VALID_SETTINGS, "d.ini").unwrap()
    assert settings.backend_port == 8000
    assert settings.stop_grace == 30.0
    assert settings.peer_tls is None


def test_a_key_with_an_empty_value_has_the_default_of_the_commented_file():
    """Except for texts, where empty means none, and for keys that must not be empty."""
    default = parse_settings(VALID_SETTINGS, "d.ini").unwrap()
    set_keys = read_ini(VALID_SETTINGS, Problems("d.ini"))
    skipped = {(section, key) for section, keys in set_keys.items() for key in keys}
    skipped |= KEYS_WITHOUT_EMPTY_DEFAULT
    checked = set()
    for section, keys in read_ini(default_text(), Problems("default.ini")).items():
        for key, text in keys.items():
            if not text or (section, key) in skipped:
                continue
            section_head = f"[{section}]"
            text_with_section = (
                VALID_SETTINGS
                if section_head in VALID_SETTINGS
                else VALID_SETTINGS + f"{section_head}\n"
            )
            emptied = text_with_section.replace(section_head, f"{section_head}\n{key} =")
            assert parse_settings(emptied, "d.ini").unwrap() == default, (section, key)
            checked.add((section, key))
    assert len(checked) > 30


def test_every_problem_is_reported_with_its_section_and_key():
    invalid = (
        VALID_SETTINGS.replace("port = 8000", "port = high\ncolour = red")
        .replace("127.0.0.1:9000", "platform.example:9000")
        .replace("name = papers-1\n", "")
        + "[castle]\nmoat = deep\n"
    )
    problems = [str(p) for p in parse_settings(invalid, "d.ini").unwrap_err()]
    assert len(problems) == 5
    for part in ("[backend] port = 'high'", "colour", "[platform] address", "name", "castle"):
        assert any(part in problem for problem in problems), part


def test_plain_text_between_daemons_is_only_allowed_on_loopback():
    invalid = VALID_SETTINGS.replace("[daemon]", "[daemon]\naddress = 192.0.2.1")
    (problem,) = parse_settings(invalid, "d.ini").unwrap_err()
    assert problem.key == "plain-text"


def test_an_event_with_line_breaks_and_quotes_is_written_as_one_line():
    event = {"timestamp": 0.0, "message_type": "x", "detail": 'two\nlines "quoted"'}
    line = render(event)
    assert line.startswith("time=1970-01-01T00:00:00.000+00:00 level=info event=x ")
    assert line.endswith('detail="two\\nlines \\"quoted\\""')


def test_repeated_events_are_suppressed_and_counted():
    stream = io.StringIO()
    destination = KeyValueDestination(stream, LogLevel.INFO)
    for timestamp in (100.0, 101.0, 102.0, 111.0):
        destination({"timestamp": timestamp, "message_type": "x", "repeat_key": "k"})
    lines = stream.getvalue().splitlines()
    assert len(lines) == 2
    assert lines[1].endswith("held_back=2")


def test_spans_continue_the_trace_of_the_caller_and_unsampled_requests_have_none():
    tracer = HopTracer("papers-1", 0.0, "", Random(1))
    exporter = InMemorySpanExporter()
    tracer._provider.add_span_processor(SimpleSpanProcessor(exporter))
    assert tracer.hop("entry", None, may_start_trace=True).span is None
    parent = b"00-" + b"a" * 32 + b"-" + b"b" * 16 + b"-01"
    hop = tracer.hop("entry", parent, may_start_trace=True)
    hop.end()
    (span,) = exporter.get_finished_spans()
    assert span.parent.span_id == int("b" * 16, 16)
    assert hop.outgoing.startswith(b"00-" + b"a" * 32)
    unsampled = parent[:-1] + b"0"
    assert tracer.hop("entry", unsampled, may_start_trace=True).outgoing == unsampled
    assert tracer.hop("entry", b"nonsense", may_start_trace=True).span is None


def test_io_uring_is_not_used():
    assert not uses_io_uring()
