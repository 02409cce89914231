"""The deciding side: what goes into the module and comes out of it, and what the front knows."""
