"""One day as the model plays it: the fleet, its fronts, its viewers, on one clock."""
