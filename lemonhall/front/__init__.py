"""The session front: connections of viewers and servers, sessions, and what surrounds the decision module."""
