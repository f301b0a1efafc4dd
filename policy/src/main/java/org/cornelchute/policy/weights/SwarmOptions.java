package org.cornelchute.policy.weights;

/**
 * Limits of the exchange of chunks; immutable.
 *
 * @param importers agents of one region that read from outside it
 * @param neighbours agents of the own region that chunks are exchanged with
 * @param inFlight chunks asked for at once from neighbours
 * @param importsInFlight chunks asked for at once from outside the region
 * @param perPeer chunks asked for at once from one neighbour
 * @param uploadQueue chunks that may wait to be sent
 * @param takeoverMillis time without a new chunk in the region before the next in rank imports
 * @param timeoutMillis longest time to wait for a chunk
 * @param remoteBytesPerSecond what a region may read from outside it where its link is shared with
 *     live requests, all importers together, 0 for no limit
 */
public record SwarmOptions(
    int importers,
    int neighbours,
    int inFlight,
    int importsInFlight,
    int perPeer,
    int uploadQueue,
    long takeoverMillis,
    long timeoutMillis,
    long remoteBytesPerSecond) {

  /** Values that hold for tens to hundreds of agents. */
  public static final SwarmOptions DEFAULTS = new SwarmOptions(4, 16, 4, 2, 1, 2, 1_000, 4_000, 0);

  /** Returns a copy with another number of importers. */
  public SwarmOptions withImporters(int n) {
    return new SwarmOptions(
        n,
        neighbours,
        inFlight,
        importsInFlight,
        perPeer,
        uploadQueue,
        takeoverMillis,
        timeoutMillis,
        remoteBytesPerSecond);
  }

  /** Returns a copy with another limit of what a region reads from outside it. */
  public SwarmOptions withRemoteBytesPerSecond(long rate) {
    return new SwarmOptions(
        importers,
        neighbours,
        inFlight,
        importsInFlight,
        perPeer,
        uploadQueue,
        takeoverMillis,
        timeoutMillis,
        rate);
  }
}
