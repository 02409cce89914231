"""The worker's side of a front: viewers' connections, their sessions, and the worker that holds them."""
