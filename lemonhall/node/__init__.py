"""The platform's protocol of a front node, without I/O: bytes in, events out.

JSON lines with viewers and media servers, DNS with the resolver, one JSON file as configuration. Every field
is checked here; what passes is typed, what does not is a `Bad` with the reason.
"""
