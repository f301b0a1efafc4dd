package org.cornelchute.policy.weights;

/**
 * Limits of the exchange of chunks; immutable.
 *
 * @param importers agents of one region that read from outside it
 * @param neighbors agents of the own region that chunks are exchanged with
 * @param maxNeighborRequests chunks asked for at once from neighbours
 * @param maxImports chunks asked for at once from outside the region
 * @param maxRequestsPerPeer chunks asked for at once from one neighbour
 * @param uploadQueueCapacity chunks that may wait to be sent
 * @param takeoverMillis time without a new chunk in the region before the next in rank imports
 * @param maxRequestTimeoutMillis longest time to wait for a chunk
 * @param remoteBytesPerSecond what a region may read from outside it where its link is shared with
 *     live requests, all importers together, 0 for no limit
 */
public record SwarmOptions(
    int importers,
    int neighbors,
    int maxNeighborRequests,
    int maxImports,
    int maxRequestsPerPeer,
    int uploadQueueCapacity,
    long takeoverMillis,
    long maxRequestTimeoutMillis,
    long remoteBytesPerSecond) {

  /** Values that hold for tens to hundreds of agents. */
  public static final SwarmOptions DEFAULTS = new SwarmOptions(4, 16, 4, 2, 1, 2, 1_000, 4_000, 0);

  /** Returns a copy with another number of importers. */
  public SwarmOptions withImporters(int n) {
    return new SwarmOptions(
        n,
        neighbors,
        maxNeighborRequests,
        maxImports,
        maxRequestsPerPeer,
        uploadQueueCapacity,
        takeoverMillis,
        maxRequestTimeoutMillis,
        remoteBytesPerSecond);
  }

  /** Returns a copy with another limit of what a region reads from outside it. */
  public SwarmOptions withRemoteBytesPerSecond(long rate) {
    return new SwarmOptions(
        importers,
        neighbors,
        maxNeighborRequests,
        maxImports,
        maxRequestsPerPeer,
        uploadQueueCapacity,
        takeoverMillis,
        maxRequestTimeoutMillis,
        rate);
  }
}
