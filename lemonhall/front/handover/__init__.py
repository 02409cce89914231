"""Handover of a running front to a successor process, with its sessions."""
