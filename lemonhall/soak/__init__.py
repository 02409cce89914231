"""Short, dense, drawn trials of the front node: its processes among stand-ins of the platform, on loopback.

`schedule` draws what happens from a seed, `player` plays it, `record` holds what was seen, `judge` applies
the rules of the protocol to the record alone.
"""
