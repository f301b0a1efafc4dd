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
   * Reads the staged chunks of some layers once more and writes those again that do not match.
   *
   * @param stagingId staging whose result is too old
   * @param layers layers whose chunks are read
   */
  record RefreshStaging(long stagingId, LayerRange layers) implements LoadEffect {}

  /**
   * Reads the staged chunks once more after a load command was accepted, without writing any, to
   * find out which of them were certainly sound when it was accepted.
   *
   * @param stagingId staging that the command was based on
   * @param orderedAt time at which the command was first sent; a chunk that was written since is
   *     not proven by a later read
   */
  record RecheckStaging(long stagingId, long orderedAt) implements LoadEffect {}

  /** Starts no further call of a staging and reports its end once those in progress have ended. */
  record CancelStaging(long stagingId) implements LoadEffect {}

  /**
   * Commands the engine to hold some layers of a version. It loads those that it does not hold from
   * its store and releases all others.
   *
   * @param version version to load
   * @param sequence number of load commands that the engine must have accepted so far; it refuses
   *     the command otherwise
   * @param layers layers to hold
   */
  record StartLoad(long version, long sequence, LayerRange layers) implements LoadEffect {

    /** Creates the command to load all layers. */
    public StartLoad(long version, long sequence) {
      this(version, sequence, LayerRange.ALL);
    }
  }

  /**
   * Commands the engine to reject calls and to hold only some layers of the version that it has
   * loaded, with which it starts no call.
   *
   * @param version version that it has loaded
   * @param sequence number of load commands that the engine must have accepted so far; it refuses
   *     the command otherwise
   * @param layers layers to hold
   */
  record Fence(long version, long sequence, LayerRange layers) implements LoadEffect {}

  /** Notifies the entries that the engine has loaded a version and accepts calls. */
  record AnnounceLoaded(long version) implements LoadEffect {}

  /** Writes a decision to the log. */
  record Log(Decision decision) implements LoadEffect {}
}
