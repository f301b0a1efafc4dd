package org.cornelchute.policy.weights;

import org.cornelchute.core.log.Decision;

/** Action that a {@link LoadDecider} requests from its duty. */
public sealed interface LoadEffect {

  /** Fetches and verifies the chunks of a version. */
  record Fetch(long version) implements LoadEffect {}

  /** Cancels the fetch of a version and discards its chunks. */
  record Drop(long version) implements LoadEffect {}

  /** Notifies the entries that the engine is about to switch, so that they send it no calls. */
  record AnnounceSwitch(long version) implements LoadEffect {}

  /**
   * Writes the chunks of a version to the engine's store, reads them back and verifies them.
   *
   * @param version version to stage
   * @param stagingId distinguishes the result of this staging from results of earlier ones
   */
  record Stage(long version, long stagingId) implements LoadEffect {}

  /**
   * Commands the engine to load the version from its store.
   *
   * @param version version to load
   * @param sequence number of load commands that the engine must have accepted so far; it refuses
   *     the command otherwise
   */
  record StartLoad(long version, long sequence) implements LoadEffect {}

  /** Notifies the entries that the engine has loaded a version and accepts calls. */
  record AnnounceLoaded(long version) implements LoadEffect {}

  /** Writes a decision to the log. */
  record Log(Decision decision) implements LoadEffect {}
}
