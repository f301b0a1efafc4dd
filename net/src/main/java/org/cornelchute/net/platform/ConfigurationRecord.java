package org.cornelchute.net.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.cornelchute.core.outcome.Failure;

/**
 * One accepted version of the rules, as a row of the append-only log.
 *
 * @param version number, from 1
 * @param author who applied it
 * @param atMillis when, by the author's clock, in milliseconds since the epoch
 * @param proposal identity of the attempt to apply it, by which a lost answer is resolved
 * @param digest SHA-256 of the text
 * @param text the whole rules file
 */
public record ConfigurationRecord(
    long version, String author, long atMillis, String proposal, String digest, String text) {

  /** Row that holds the number of the newest accepted version. */
  public static final String HEAD_KEY = "config-head";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Returns the key of a version's row. */
  public static String key(long version) {
    return "config-" + version;
  }

  /** Parses a row. */
  public static Either<Failure, ConfigurationRecord> parse(String json) {
    try {
      return Either.right(MAPPER.readValue(json, ConfigurationRecord.class));
    } catch (JsonProcessingException e) {
      return Either.left(Failure.invalid("row of the rules log is malformed"));
    }
  }

  /** Returns the row's text. */
  public String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("record cannot be encoded", e);
    }
  }
}
