package org.cornelchute.standin.bench;

/**
 * Arguments of the measurements; each takes those it knows.
 *
 * @param replicas agents with an engine
 * @param regions regions that they stand in
 * @param megabytes size of the weights
 * @param seconds length of the load
 * @param fault fault to provoke, or empty
 * @param daemons member processes
 * @param importers agents of a region that read from outside it, 0 for the default
 * @param strategy how an entry chooses an endpoint
 */
record BenchOptions(
    int replicas,
    int regions,
    int megabytes,
    int seconds,
    String fault,
    int daemons,
    int importers,
    String strategy) {}
