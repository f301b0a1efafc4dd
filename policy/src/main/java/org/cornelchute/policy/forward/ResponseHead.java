package org.cornelchute.policy.forward;

/**
 * Beginning of an endpoint's answer, as far as decisions depend on it.
 *
 * @param status HTTP status
 * @param notExecuted whether the endpoint says that it did not run the call
 * @param instanceMismatch whether it says that it is not the endpoint, or version, that was asked
 *     for
 * @param signed whether it bears the endpoint's signature, without which a success is none
 * @param version version of the weights that answer, 0 if not told
 * @param running calls that it runs, negative if not told
 * @param queued calls that wait at it
 */
public record ResponseHead(
    int status,
    boolean notExecuted,
    boolean instanceMismatch,
    boolean signed,
    long version,
    int running,
    int queued) {}
