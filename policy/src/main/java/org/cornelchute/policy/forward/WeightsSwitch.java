package org.cornelchute.policy.forward;

/**
 * Switch of an engine to another version of its weights, as reported by the agent on its host.
 *
 * @param engineStartedAtMillis start of the engine's incarnation in milliseconds since the epoch
 * @param targetVersion version that the engine is about to load or has loaded, 0 if the agent has
 *     announced no switch
 * @param loadedVersion version that the engine holds, 0 if none
 * @param cachesPrefixes whether the engine is known to cache prefixes of prompts
 */
public record WeightsSwitch(
    long engineStartedAtMillis, long targetVersion, long loadedVersion, boolean cachesPrefixes) {

  /** Creates the switch of an engine that is not known to cache prefixes. */
  public WeightsSwitch(long engineStartedAtMillis, long targetVersion, long loadedVersion) {
    this(engineStartedAtMillis, targetVersion, loadedVersion, false);
  }
}
