package org.cornelchute.policy.weights;

import org.cornelchute.core.log.Decision;

/** What a {@link LoadDecider} asks its duty to do. */
public sealed interface LoadEffect {

  /** Fetch and verify the chunks of a version. */
  record Fetch(long version) implements LoadEffect {}

  /** Fetch a version no further. */
  record Drop(long version) implements LoadEffect {}

  /** Tell the entries that the engine is about to change over, so that they send no more to it. */
  record AnnounceSwitch(long version) implements LoadEffect {}

  /**
   * Put the chunks of a version into the engine's store, read them back and verify them.
   *
   * @param version the version
   * @param stagingId tells the result of this staging from that of an earlier one
   */
  record Stage(long version, long stagingId) implements LoadEffect {}

  /** Order the engine to load what lies in its store, if it still is at {@code sequence}. */
  record StartLoad(long version, long sequence) implements LoadEffect {}

  /** Tell the entries that the engine has loaded a version and takes calls. */
  record AnnounceLoaded(long version) implements LoadEffect {}

  /** Write a decision to the log. */
  record Log(Decision decision) implements LoadEffect {}
}
