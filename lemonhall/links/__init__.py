"""Emulates the network between the processes of a day: relays on loopback that impair what passes them.

`pipe` and `network` are pure: seed, time and bytes in, bytes and times out. `relay` holds the sockets, and
`process` executes the commands of the process that runs the relays.
"""
