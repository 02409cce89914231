"""Towards media servers: attempts, relayed streams, descriptions."""
