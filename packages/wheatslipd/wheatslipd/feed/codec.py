"""Codec for the gRPC messages between daemons: msgspec structs encoded as MessagePack."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase
from result import Err, Ok
from wheatslip.decoding import decode_msgpack


class StructCodec(CodecBase):
    """Encodes and decodes msgspec structs; raises only msgspec.DecodeError."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self.encoded_bytes = 0  # total since the start

    def encode(self, message: Any, message_type: Any) -> bytes:
        data = msgspec.msgpack.encode(message)
        self.encoded_bytes += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        match decode_msgpack(data, message_type):
            case Ok(message):
                return message
            case Err(reason):
                raise msgspec.DecodeError(reason)
