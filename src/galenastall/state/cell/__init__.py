"""Records of a cell: jobs of queues, their tasks and the executors that run them."""
