"""Measurements of curranthill."""
