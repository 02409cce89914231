"""Measurements of the program. Ratios are taken in one run; nothing here is a test."""
