"""Run the stages of requests: stage graph, batching of pieces, calls and results.

A piece is one unit of work of a stage; a request has a number of pieces at each stage.
"""
