package org.cornelchute.policy.forward;

/**
 * How one endpoint compares with the others for a call.
 *
 * @param endpoint id of the endpoint
 * @param domain failure domain of the endpoint
 * @param slots number of calls that the endpoint runs concurrently
 * @param version version of the weights that the endpoint holds, 0 if none
 * @param load estimated number of calls that run or are queued at the endpoint
 * @param slowdown factor by which work takes longer than usual, 1 if normal
 * @param savingMillis time saved by parts of the prompt that the endpoint holds, in milliseconds
 * @param score load per slot with all corrections; the lowest one is chosen
 * @param exclusion why the endpoint cannot take the call, {@link Exclusion#NONE} if it can
 */
public record CandidateExplanation(
    String endpoint,
    String domain,
    int slots,
    long version,
    double load,
    double slowdown,
    double savingMillis,
    double score,
    Exclusion exclusion) {}
