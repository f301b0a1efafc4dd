package org.cornelchute.entry.direct;

/**
 * Names of the HTTP headers between callers, the entry and endpoints, in lower case.
 *
 * @param requestId identity of a call
 * @param deadline remaining time until the deadline, in milliseconds
 * @param expectedInstance incarnation of the endpoint that must execute the call
 * @param expectedVersion version of the weights that must be used to execute the call
 * @param workspace workspace that the call is charged to
 * @param priority priority of the call, 0 is the highest
 * @param tokenCounts prompt tokens and maximum output tokens, separated by a comma
 * @param promptParts parts of the prompt in order, as comma-separated {@code ID:TOKENS} entries
 *     with the id in hexadecimal
 * @param lengthHint estimated number of output tokens
 * @param lastEventId id of the last event that the caller has received
 * @param notExecuted present if the endpoint did not execute the call
 * @param responseSignature signature of the endpoint on its response
 * @param weightsVersion version of the weights that produced the response
 * @param endpointLoad running calls, queued calls, slots and optionally the time that work takes in
 *     percent of the normal time, separated by commas
 * @param endpointLimit calls per second that the endpoint takes from all entries together
 * @param endpointLeaving {@code 1} if the endpoint is about to leave and takes no new calls
 */
public record CallHeaderNames(
    String requestId,
    String deadline,
    String expectedInstance,
    String expectedVersion,
    String workspace,
    String priority,
    String tokenCounts,
    String promptParts,
    String lengthHint,
    String lastEventId,
    String notExecuted,
    String responseSignature,
    String weightsVersion,
    String endpointLoad,
    String endpointLimit,
    String endpointLeaving) {}
