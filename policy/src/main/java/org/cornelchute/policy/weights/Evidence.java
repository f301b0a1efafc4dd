package org.cornelchute.policy.weights;

/**
 * Evidence that all chunks of a version are sound in an engine's store.
 *
 * <p>A chunk counts as sound at the time at which the request was sent whose response matched the
 * manifest, since it may change at any time after that.
 *
 * @param oldestReadAt time of the oldest read that the evidence rests on, in milliseconds
 * @param newestReadAt time of the newest read that the evidence rests on, in milliseconds
 * @param startedAt time at which the staging started, in milliseconds
 * @param reads number of chunks read, with those read again
 * @param writes number of chunks written, with those written again
 */
public record Evidence(
    long oldestReadAt, long newestReadAt, long startedAt, int reads, int writes) {

  /** Returns the age of the oldest read in milliseconds. */
  public long ageAt(long now) {
    return now - oldestReadAt;
  }

  /** Returns the fields of a log line with the age of the evidence. */
  public String describe(long now) {
    return "oldestReadMs="
        + (now - oldestReadAt)
        + " newestReadMs="
        + (now - newestReadAt)
        + " reads="
        + reads
        + " writes="
        + writes
        + " stagingMs="
        + (now - startedAt);
  }
}
