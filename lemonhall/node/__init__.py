"""The platform's protocol for a front node, without I/O: bytes in, typed messages out.

JSON lines with viewers and media servers, DNS with the resolver, one JSON file as configuration. Every field
is validated here; input that fails raises a `MessageError`, `DnsError` or `BadInput` with the reason.
"""
