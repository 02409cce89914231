"""The front node: the platform's protocol on event loop and streams, around the decider behind its bridge."""
