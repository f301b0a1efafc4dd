package org.cornelchute.net.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.regex.Pattern;
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
  private static final Pattern VERSION = Pattern.compile("[0-9]{1,18}");

  /** Returns the key of the row of a version. */
  public static String key(long version) {
    return "config-" + version;
  }

  /**
   * Parses the value of the head row.
   *
   * @return the newest accepted version; empty if the value is no version number
   */
  public static Optional<Long> parseHead(String value) {
    return VERSION.matcher(value).matches() ? Optional.of(Long.parseLong(value)) : Optional.empty();
  }

  /** Parses the value of the row of a version, in which every field must be present. */
  public static Either<Failure, ConfigurationRecord> parse(long version, String json) {
    try {
      ConfigurationRecord row = MAPPER.readValue(json, ConfigurationRecord.class);
      if (row != null && row.version == version && row.hasAllTexts()) {
        return Either.right(row);
      }
    } catch (JsonProcessingException e) {
      // Reported below, together with rows that lack a field or belong to another version.
    }
    return Either.left(
        Failure.invalid(
            "malformed row in the rules log; accepted: a JSON object with the"
                + " fields of a rules version"));
  }

  private boolean hasAllTexts() {
    return author != null && proposal != null && digest != null && text != null;
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
