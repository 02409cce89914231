"""Stand-ins for what a front talks to: media servers, the box list, viewers; each with faults and a tap."""
