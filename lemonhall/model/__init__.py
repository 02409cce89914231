"""The fleet in simulated time round the decision module, and experiments on it."""
