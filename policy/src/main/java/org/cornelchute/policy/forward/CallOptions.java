package org.cornelchute.policy.forward;

/**
 * Identity of an entry and limits of its decisions; immutable.
 *
 * @param self name of this entry
 * @param domain failure domain of this entry
 * @param region region of this entry
 * @param maxKeyAgeMillis age of the configuration above which calls with keys are rejected, and
 *     calls without keys if another entry can probably serve them
 * @param maxDenialAgeMillis age of the configuration above which an unknown route or key is
 *     rejected as not ready, since it may have been added in the meantime
 * @param versionGraceMillis time from the first sighting of new weights until calls are sent only
 *     to endpoints that hold them
 * @param versionCutoffMillis time from the first sighting of new weights until calls that have no
 *     response yet are canceled at endpoints with older weights
 * @param retryRatio retries that a service may receive, as a fraction of its new calls
 * @param retryAllowance retries in each window that a service may receive in addition, from all
 *     entries together
 * @param retryWindowMillis length of the window in which retries are counted
 * @param coldOverrunFactor factor by which the limit of a cold endpoint may be exceeded
 * @param coldAllowance number of calls by which that limit may be exceeded in addition
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
