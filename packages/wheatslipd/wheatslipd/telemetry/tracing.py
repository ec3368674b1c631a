"""Traces: one span per hop, propagated by the W3C traceparent header.

The daemon where a trace starts decides whether it is sampled.
"""

from dataclasses import dataclass
from functools import cached_property
from random import Random
from typing import TYPE_CHECKING

from opentelemetry import trace
from opentelemetry.trace import NonRecordingSpan, Span, SpanContext, SpanKind, TraceFlags

if TYPE_CHECKING:
    from opentelemetry.sdk.trace import TracerProvider

TRACEPARENT = b"traceparent"
# Format of the header (W3C Trace Context): number of parts, and lengths in hex digits.
_PART_COUNT = 4
_TRACE_ID_LENGTH = 32
_SPAN_ID_LENGTH = 16


@dataclass(slots=True)
class HopTrace:
    """The trace of one request in this daemon."""

    span: Span | None = None  # None: not sampled
    outgoing: bytes | None = None  # traceparent header to forward

    def set(self, key: str, value: str | int | float) -> None:
        """Set an attribute of the span, if there is one."""
        if self.span is not None:
            self.span.set_attribute(key, value)

    def end(self) -> None:
        """End the span, if there is one."""
        if self.span is not None:
            self.span.end()


class HopTracer:
    """Starts the spans of a daemon."""

    def __init__(self, instance: str, sample: float, path: str, rng: Random):
        """`path` is the file that spans are appended to; if empty, spans are dropped."""
        self.sample = sample
        self._rng = rng
        self._instance = instance
        self._file = open(path, "a", encoding="utf-8") if path else None  # noqa: SIM115

    def hop(self, name: str, incoming: bytes | None, *, may_start_trace: bool) -> HopTrace:
        """Start a hop; with `may_start_trace` a request without a trace may start a new one."""
        parent = parse_traceparent(incoming) if incoming else None
        if parent is None:
            if not may_start_trace or not self.sample or self._rng.random() >= self.sample:
                return HopTrace(None, incoming)
            return self._start(name, None)
        if not parent.trace_flags & TraceFlags.SAMPLED:
            return HopTrace(None, incoming)
        return self._start(name, parent)

    def close(self) -> None:
        """Export the remaining spans and close the file."""
        if "_provider" in vars(self):
            self._provider.shutdown()
        if self._file is not None:
            self._file.close()

    @cached_property
    def _provider(self) -> "TracerProvider":
        """The span provider; the first span imports the OpenTelemetry SDK, which is large."""
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter

        provider = TracerProvider(resource=Resource({"service.instance.id": self._instance}))
        if self._file is not None:
            exporter = ConsoleSpanExporter(
                out=self._file, formatter=lambda span: span.to_json(indent=None) + "\n"
            )
            provider.add_span_processor(BatchSpanProcessor(exporter))
        return provider

    @cached_property
    def _tracer(self) -> trace.Tracer:
        return self._provider.get_tracer("wheatslipd")

    def _start(self, name: str, parent: SpanContext | None) -> HopTrace:
        context = trace.set_span_in_context(NonRecordingSpan(parent)) if parent else None
        span = self._tracer.start_span(name, context=context, kind=SpanKind.SERVER)
        return HopTrace(span, format_traceparent(span.get_span_context()))


def parse_traceparent(value: bytes) -> SpanContext | None:
    """Return the parent span of a traceparent header, None if it is malformed."""
    parts = value.decode("ascii", "replace").split("-")
    if len(parts) != _PART_COUNT or parts[0] != "00":
        return None
    trace_id, span_id, flags = parts[1:]
    if len(trace_id) != _TRACE_ID_LENGTH or len(span_id) != _SPAN_ID_LENGTH:
        return None
    try:
        context = SpanContext(
            int(trace_id, 16), int(span_id, 16), True, TraceFlags(int(flags, 16))
        )
    except ValueError:
        return None
    return context if context.is_valid else None


def format_traceparent(context: SpanContext) -> bytes:
    """Return the traceparent header of a span."""
    flags = int(context.trace_flags)
    return f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}".encode()
