"""The network between processes, as a process of its own: relays on loopback that do what a day says.

`pipe`, `network` are pure: seed, time and bytes in, bytes and times out. `relay`, `process` are the sockets.
"""
