"""The front as processes: wiring, start and stop, supervision, the status pages."""
