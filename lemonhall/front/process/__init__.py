"""The front as a process: wiring, start and stop, supervision, status pages."""
