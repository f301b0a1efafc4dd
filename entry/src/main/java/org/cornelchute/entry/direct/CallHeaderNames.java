package org.cornelchute.entry.direct;

/**
 * Names of the headers that callers, endpoints and the entry agree on; all lower case.
 *
 * @param requestId identity of a call
 * @param deadline milliseconds that the sender waits
 * @param expectedInstance incarnation that alone may run the call
 * @param expectedVersion version of the weights that alone may run it
 * @param workspace payer
 * @param priority rank, 0 is first
 * @param tokenCounts prompt tokens and most answer tokens, with a comma between
 * @param lengthHint estimate of the answer's tokens
 * @param lastEventId last event that the caller has
 * @param notExecuted says that the endpoint did not run the call
 * @param responseSignature what an endpoint signs its answers with
 * @param weightsVersion version of the weights that answer
 * @param endpointLoad running and waiting calls and slots, with commas between
 */
public record CallHeaderNames(
    String requestId,
    String deadline,
    String expectedInstance,
    String expectedVersion,
    String workspace,
    String priority,
    String tokenCounts,
    String lengthHint,
    String lastEventId,
    String notExecuted,
    String responseSignature,
    String weightsVersion,
    String endpointLoad) {}
