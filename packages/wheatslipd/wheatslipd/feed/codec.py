"""Codec for the gRPC messages between daemons: msgspec structs encoded as MessagePack."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


class StructCodec(CodecBase):
    """Encodes and decodes msgspec structs; raises msgspec.DecodeError on a type mismatch."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self.encoded_bytes = 0  # total since the start

    def encode(self, message: Any, message_type: Any) -> bytes:
        data = msgspec.msgpack.encode(message)
        self.encoded_bytes += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        return msgspec.msgpack.decode(data, type=message_type)
