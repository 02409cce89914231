"""Worker processes of a front: parent, worker, and the decider's connections to its workers."""
