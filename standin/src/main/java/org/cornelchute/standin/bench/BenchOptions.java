package org.cornelchute.standin.bench;

/**
 * Options of the benchmarks; each benchmark uses only some of them.
 *
 * @param replicas number of agents with an engine
 * @param regions number of regions over which the agents are spread
 * @param megabytes size of the weights in MiB
 * @param seconds duration of the measured load
 * @param fault fault to inject, empty for none
 * @param daemons number of member processes
 * @param importers number of agents in a region that read from outside it, 0 for the default
 * @param strategy routing strategy of the entries
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
