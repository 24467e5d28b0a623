"""Data types of a cell: jobs in queues, their tasks and the executors that run them."""
