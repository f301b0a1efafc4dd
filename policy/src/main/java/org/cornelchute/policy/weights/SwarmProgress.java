package org.cornelchute.policy.weights;

/**
 * How far one agent has come with a version.
 *
 * @param held chunks held
 * @param all chunks of the version
 * @param inRegion chunks that an agent of the region is known to hold
 * @param asking requests open at agents of the region
 * @param importing requests open outside the region
 * @param uploads chunks that wait to be sent
 * @param near other agents of the region
 * @param greeted those of them that exchange chunks with this one
 * @param resting those of them that are not asked for a while
 * @param busy those of them that a request is open at
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
