"""Connections to media servers: attempts, relayed media, descriptions, and the server list."""
