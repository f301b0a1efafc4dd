package org.cornelchute.policy.placement;

/**
 * What a model engine says of itself.
 *
 * @param incarnation incarnation; another one means that the engine has restarted
 * @param model model it has loaded, or empty
 * @param manifest digest of the manifest of what it has loaded, or empty
 * @param fencingNumber highest fencing number of the orders it took
 * @param capacity requests that it says it can carry at once, 0 if it does not say
 */
public record EngineState(
    String incarnation, String model, String manifest, long fencingNumber, int capacity) {}
