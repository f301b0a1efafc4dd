package org.cornelchute.policy.forward;

/**
 * Switch of an engine to another version of its weights, as reported by the agent on its host.
 *
 * @param engineStartedAtMillis start of the engine's incarnation in milliseconds since the epoch
 * @param targetVersion version that the engine is about to load or has loaded
 * @param loadedVersion version that the engine holds, 0 if none
 */
public record WeightsSwitch(long engineStartedAtMillis, long targetVersion, long loadedVersion) {}
