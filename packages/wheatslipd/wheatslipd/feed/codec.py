"""The codec of the gRPC messages between daemons: msgspec structs as MessagePack.

With it the messages are the typed structs of the library, and no code is generated.
"""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


class StructCodec(CodecBase):
    """Encodes and decodes msgspec structs; raises msgspec.DecodeError on what does not fit."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self.encoded_bytes = 0  # bytes of all messages encoded so far

    def encode(self, message: Any, message_type: Any) -> bytes:
        """The bytes of a message."""
        data = msgspec.msgpack.encode(message)
        self.encoded_bytes += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """A message of the type, checked."""
        return msgspec.msgpack.decode(data, type=message_type)
