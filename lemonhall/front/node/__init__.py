"""The front node: the platform's protocol on the loop and streams, round the module behind its bridge."""
