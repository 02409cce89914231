"""Workers in processes of their own: the parent that keeps them and the decider, and their links."""
