package org.cornelchute.policy.weights;

/**
 * Progress of one agent's download of a version.
 *
 * <p>The component names appear in the log through {@link #toString()}.
 *
 * @param held chunks held by this agent
 * @param all chunks of the version
 * @param inRegion chunks that at least one agent of the region is known to hold
 * @param asking chunk requests in flight to agents of the region
 * @param importing chunk requests in flight to the origin or to agents of other regions
 * @param uploads chunks queued for upload
 * @param near other agents of the region that want or hold the version
 * @param greeted agents among {@code near} that have completed a handshake with this agent
 * @param resting agents among {@code near} that receive no requests during a backoff
 * @param busy agents among {@code near} with a request in flight
 */
public record SwarmProgress(
    int held,
    int all,
    int inRegion,
    int asking,
    int importing,
    int uploads,
    int near,
    int greeted,
    int resting,
    int busy) {}
