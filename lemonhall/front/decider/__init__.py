"""The decider: the decision module's events and actions, and the state that a front keeps around it."""
