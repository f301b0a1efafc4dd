package org.cornelchute.policy.forward;

/**
 * Bounds that the decisions of an entry keep; immutable.
 *
 * @param self name of this entry
 * @param domain failure domain it stands in
 * @param region region it stands in
 * @param maxKeyAgeMillis age of the configuration beyond which keyed calls are refused
 * @param maxDenialAgeMillis age of the configuration beyond which an unknown route or key is
 *     refused as not ready, since it may have been added
 * @param versionGraceMillis time from learning of new weights until calls are sent to these only
 * @param versionCutoffMillis time from learning of new weights until calls that did not begin are
 *     taken back from endpoints with older ones
 * @param retryRatio repeats that a service may get, as a share of fresh calls
 * @param retryAllowance repeats that a service may get besides, from all entries
 * @param retryWindowMillis span over which repeats are counted
 * @param coldOverrunFactor factor by which the limit of a cold endpoint may be exceeded
 * @param coldAllowance calls by which it may be exceeded besides
 */
public record CallOptions(
    String self,
    String domain,
    String region,
    long maxKeyAgeMillis,
    long maxDenialAgeMillis,
    long versionGraceMillis,
    long versionCutoffMillis,
    double retryRatio,
    double retryAllowance,
    long retryWindowMillis,
    double coldOverrunFactor,
    double coldAllowance) {}
