"""The state that a front keeps on disk: the ledger of paid claims, the last server list, learned state."""

from lemonhall.store.claims import (
    ClaimAnswer,
    ClaimDecision,
    ClaimRecord,
    ClaimWrite,
    Ledger,
    Permit,
    Standing,
    Token,
    Verdict,
)
from lemonhall.store.file import CheckReport, Store
from lemonhall.store.records import RecordError, decode_record, encode_record
from lemonhall.store.writer import StoreWriter

__all__ = [
    "CheckReport",
    "ClaimAnswer",
    "ClaimDecision",
    "ClaimRecord",
    "ClaimWrite",
    "Ledger",
    "Permit",
    "RecordError",
    "Standing",
    "Store",
    "StoreWriter",
    "Token",
    "Verdict",
    "decode_record",
    "encode_record",
]
