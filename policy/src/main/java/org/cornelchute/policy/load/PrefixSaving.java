package org.cornelchute.policy.load;

/**
 * What a call saves at an engine that has leading parts of its prompt in the cache.
 *
 * @param prefix shared parts of the prompt, {@link PromptPrefix#NONE} if no engine caches prefixes
 * @param promptTokensPerMilli prompt tokens that an engine processes in a millisecond
 * @param firstEventMillis predicted time to the first event at an idle engine that holds nothing
 */
public record PrefixSaving(
    PromptPrefix prefix, double promptTokensPerMilli, double firstEventMillis) {

  /** A call that saves nothing anywhere. */
  public static final PrefixSaving NONE = new PrefixSaving(PromptPrefix.NONE, 0, 0);

  /**
   * Returns the time that a call saves at an engine, at most the time to the first event.
   *
   * @param cache cache of the engine, null if it is not known to cache prefixes
   * @param weightsVersion version of the weights that the engine holds
   */
  public double millis(long now, PrefixCache cache, long weightsVersion) {
    if (cache == null || prefix.length() == 0 || promptTokensPerMilli <= 0) {
      return 0;
    }
    double saved = cache.heldTokens(now, weightsVersion, prefix) / promptTokensPerMilli;
    return Math.min(saved, firstEventMillis);
  }

  /** Returns that time as a fraction of the time to the first event. */
  public double share(long now, PrefixCache cache, long weightsVersion) {
    double saved = millis(now, cache, weightsVersion);
    return saved > 0 ? saved / firstEventMillis : 0;
  }
}
