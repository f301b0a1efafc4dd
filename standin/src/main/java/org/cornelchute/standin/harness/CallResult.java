package org.cornelchute.standin.harness;

import java.util.List;

/**
 * What one request came to.
 *
 * @param outcome verdict of the checker
 * @param status HTTP status, 0 if there was none
 * @param firstTokenMicros time to the first token, for streams
 * @param interTokenMicros times between tokens, for streams
 * @param totalMicros time to the end
 * @param workspace who sent it
 * @param detail what a bad answer looked like, or the refusal's message
 */
public record CallResult(
    Outcome outcome,
    int status,
    long firstTokenMicros,
    List<Long> interTokenMicros,
    long totalMicros,
    String workspace,
    String detail) {

  /** Verdicts. */
  public enum Outcome {
    /** The whole answer to this very request, from one version of the weights. */
    WHOLE,
    /** Refused: said not to have run. */
    NOT_RUN,
    /** Said to be unknown. */
    UNKNOWN,
    /** Broken off visibly. */
    CUT,
    /** Ended normally but was partial, mixed, or another request's. */
    BAD,
    /** Refused for another reason. */
    OTHER
  }
}
