"""What a front writes down: claims and what was learned, captures, records of what was asked."""
