"""What a front stores on disk: claims and learned state, captures, records of requested sessions."""
