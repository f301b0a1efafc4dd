package org.cornelchute.policy.forward;

import java.util.Optional;

/**
 * One service of the configuration in force.
 *
 * @param name its name
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param coldStartMillis how long an endpoint stays cold after its start
 * @param coldCallsPerSecond calls a second that a cold endpoint carries; 0 for no limit
 * @param engine speed of its engines, empty for plain services
 */
public record ServiceSpec(
    String name,
    int maxConnections,
    long coldStartMillis,
    double coldCallsPerSecond,
    Optional<EngineSpec> engine) {}
