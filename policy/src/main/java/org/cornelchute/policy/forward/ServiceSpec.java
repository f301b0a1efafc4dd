package org.cornelchute.policy.forward;

import java.util.Optional;

/**
 * One service of the current configuration.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts from all entries together
 * @param coldStartMillis time that an endpoint stays cold after its start
 * @param coldCallsPerSecond calls per second that a cold endpoint can serve; 0 if the configuration
 *     names none, so that a cold endpoint receives no more than the constant allowance
 * @param engine performance of the service's engines, empty for plain services
 */
public record ServiceSpec(
    String name,
    int maxConnections,
    long coldStartMillis,
    double coldCallsPerSecond,
    Optional<EngineSpec> engine) {}
