package org.cornelchute.policy.weights;

/**
 * Limits of the chunk exchange; immutable.
 *
 * @param importers agents of each region that read chunks from outside it
 * @param neighbors agents of the same region that an agent sends handshakes to
 * @param maxNeighborRequests chunk requests in flight to neighbors
 * @param maxImports chunk requests in flight to the origin or to agents of other regions
 * @param maxRequestsPerPeer chunk requests in flight to one neighbor
 * @param uploadQueueCapacity chunks that may be queued for upload
 * @param takeoverMillis minimum time without a new chunk in the region before the next agent in the
 *     ranking imports
 * @param maxRequestTimeoutMillis longest timeout of a chunk request to a peer; reads from the
 *     origin get twice as long
 * @param remoteBytesPerSecond rate limit of all importers of a region together for reads over a
 *     link that also carries live requests, 0 for no limit
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

  /** Defaults for tens to hundreds of agents. */
  public static final SwarmOptions DEFAULTS = new SwarmOptions(4, 16, 4, 2, 1, 2, 1_000, 4_000, 0);

  /**
   * Limits for agents whose links carry a version in seconds. Messages wait behind chunks on such
   * links, at the receiver behind several of them, so that it takes this many requests to fill one.
   */
  public static final SwarmOptions SLOW_LINKS =
      new SwarmOptions(8, 16, 8, 2, 1, 3, 1_000, 3_000, 0);

  /** Returns a copy with another number of importers. */
  public SwarmOptions withImporters(int count) {
    return new SwarmOptions(
        count,
        neighbors,
        maxNeighborRequests,
        maxImports,
        maxRequestsPerPeer,
        uploadQueueCapacity,
        takeoverMillis,
        maxRequestTimeoutMillis,
        remoteBytesPerSecond);
  }

  /** Returns a copy with another rate limit of reads from outside the region. */
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
