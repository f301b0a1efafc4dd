package org.cornelchute.policy.forward;

/**
 * How an engine changes over to other weights, as the agent beside it says.
 *
 * @param born start of the engine's incarnation in milliseconds since the epoch
 * @param to version that it is about to load, or has loaded
 * @param loaded version that it holds, 0 if none
 */
public record EngineChange(long born, long to, long loaded) {}
