package org.cornelchute.policy.admission;

/**
 * Identifies one attempt at a request.
 *
 * @param request id of the request
 * @param attempt number of the attempt, from 1
 */
public record AttemptKey(String request, int attempt) {}
