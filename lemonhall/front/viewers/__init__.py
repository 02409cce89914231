"""The carrying side: viewers, their sessions, the worker that has them."""
