package org.cornelchute.policy.forward;

/**
 * Beginning of an endpoint's answer, as far as decisions depend on it.
 *
 * @param status HTTP status
 * @param notRun whether the endpoint says that it did not run the call
 * @param otherInstance whether it says that it is not the endpoint, or version, that was asked for
 * @param signed whether it bears the endpoint's signature, without which a success is none
 * @param version version of the weights that answer, 0 if not told
 * @param running calls that it runs, negative if not told
 * @param waiting calls that wait at it
 */
public record AnswerHead(
    int status,
    boolean notRun,
    boolean otherInstance,
    boolean signed,
    long version,
    int running,
    int waiting) {}
