package org.cornelchute.standin.harness;

import java.util.List;

/**
 * Result of one request.
 *
 * @param outcome verified outcome
 * @param status HTTP status, 0 if no response was received
 * @param firstTokenMicros time to the first part of the response, 0 if there was none
 * @param interTokenMicros times between successive parts of the response
 * @param totalMicros time to the end of the request
 * @param workspace key with which the request was sent
 * @param detail content of a wrong response, message of a refusal, or error; empty otherwise
 */
public record CallResult(
    Outcome outcome,
    int status,
    long firstTokenMicros,
    List<Long> interTokenMicros,
    long totalMicros,
    String workspace,
    String detail) {

  /** Outcomes of a request. */
  public enum Outcome {
    /** Complete response to this request, from one version of the weights. */
    WHOLE,
    /** Refused with the statement that the request did not run. */
    NOT_RUN,
    /** Outcome unknown: reported by the entry, or the request failed before a response began. */
    UNKNOWN,
    /** Response aborted visibly before its end. */
    CUT,
    /** Response ended normally but is truncated, mixes versions, or belongs to another request. */
    BAD,
    /** Refused for any other reason. */
    OTHER
  }
}
