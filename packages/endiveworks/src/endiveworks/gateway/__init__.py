"""Decisions on requests that are passed on to replicas: route, order, refusal, replica."""
