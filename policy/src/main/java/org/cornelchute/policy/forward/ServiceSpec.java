package org.cornelchute.policy.forward;

import java.util.Optional;

/**
 * One service of the configuration in force.
 *
 * @param name its name
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param coldMillis how long an endpoint stays cold after its start
 * @param coldPerSecond calls a second that a cold endpoint carries; 0 for no limit
 * @param engine speed of its engines, empty for plain services
 */
public record ServiceSpec(
    String name,
    int maxConnections,
    long coldMillis,
    double coldPerSecond,
    Optional<EngineSpec> engine) {}
