"""Reservations of stage capacity, which admission makes for the whole path of a request."""
