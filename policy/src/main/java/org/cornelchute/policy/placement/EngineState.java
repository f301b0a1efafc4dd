package org.cornelchute.policy.placement;

/**
 * State of a model engine, as reported by the engine itself.
 *
 * @param incarnation id that changes when the engine restarts
 * @param model name of the loaded model, or empty
 * @param manifest digest of the manifest of the loaded version, or empty
 * @param fencingNumber highest fencing number of the load commands that the engine has accepted
 * @param capacity maximum number of concurrent requests, 0 if the engine does not report it
 */
public record EngineState(
    String incarnation, String model, String manifest, long fencingNumber, int capacity) {}
