package org.cornelchute.net.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.cornelchute.core.outcome.Failure;

/**
 * One accepted version of the rules, as a row of the append-only log.
 *
 * @param version version number, starting at 1
 * @param author name of the operator who applied it
 * @param atMillis when it was applied, by the author's clock, in milliseconds since the epoch
 * @param proposal unique id of the attempt to apply it; after a lost answer, it shows whether that
 *     attempt succeeded
 * @param digest SHA-256 of the text
 * @param text complete text of the rules file
 */
public record ConfigurationRecord(
    long version, String author, long atMillis, String proposal, String digest, String text) {

  /** Key of the row that holds the number of the newest accepted version. */
  public static final String HEAD_KEY = "config-head";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Returns the key of the row of a version. */
  public static String key(long version) {
    return "config-" + version;
  }

  /** Parses the value of a row. */
  public static Either<Failure, ConfigurationRecord> parse(String json) {
    try {
      return Either.right(MAPPER.readValue(json, ConfigurationRecord.class));
    } catch (JsonProcessingException e) {
      return Either.left(
          Failure.invalid(
              "malformed row in the rules log; accepted: a JSON object with the"
                  + " fields of a rules version"));
    }
  }

  /** Returns the value of the row, a JSON object. */
  public String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("record cannot be encoded", e);
    }
  }
}
