"""Change of guard: a successor takes a front over, with all that plays there."""
