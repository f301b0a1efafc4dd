package org.cornelchute.policy.weights;

import java.util.Set;

/** Action that a {@link StagingDecider} requests from its duty. */
public sealed interface StagingEffect {

  /** Writes a chunk to the engine's store. */
  record Write(int chunk) implements StagingEffect {}

  /**
   * Reads a chunk from the engine's store.
   *
   * @param again whether the chunk was read before, so that a late copy of that response could be
   *     mistaken for the response to this read on a shared connection
   */
  record Read(int chunk, boolean again) implements StagingEffect {}

  /** All chunks asked for are sound; no call is in progress. */
  record Verified(Evidence evidence) implements StagingEffect {}

  /**
   * All chunks were read once more, and none was written; no call is in progress.
   *
   * @param changed chunks that did not match, or were written after the time asked about
   * @param foreign those of them that match another version
   */
  record Rechecked(Set<Integer> changed, Set<Integer> foreign) implements StagingEffect {}

  /**
   * The staging has ended without a result; no call is in progress.
   *
   * @param cause why it has ended, for the log
   */
  record Ended(String cause) implements StagingEffect {}
}
