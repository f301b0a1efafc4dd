package org.cornelchute.policy.forward;

/**
 * How an engine changes over to other weights, as the agent beside it says.
 *
 * @param engineStartedAtMillis start of the engine's incarnation in milliseconds since the epoch
 * @param targetVersion version that it is about to load, or has loaded
 * @param loadedVersion version that it holds, 0 if none
 */
public record WeightsSwitch(long engineStartedAtMillis, long targetVersion, long loadedVersion) {}
