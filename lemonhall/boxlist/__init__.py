"""The server list as sent to fronts and as cached: length-delimited protobuf. No I/O."""

from lemonhall.boxlist.boxlist_pb2 import Box, State, Update
from lemonhall.boxlist.codec import (
    CacheError,
    DelimitedDecoder,
    decode_cache,
    encode_cache,
    encode_delimited,
)

__all__ = [
    "Box",
    "CacheError",
    "DelimitedDecoder",
    "State",
    "Update",
    "decode_cache",
    "encode_cache",
    "encode_delimited",
]
