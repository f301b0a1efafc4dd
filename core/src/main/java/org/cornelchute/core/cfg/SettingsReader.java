package org.cornelchute.core.cfg;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.cornelchute.core.outcome.Failure;

/**
 * Reads and validates settings written in JSON with comments.
 *
 * <p>An unknown key, a value of the wrong type or out of range, and an unreadable file are returned
 * as a {@link Failure} whose message gives the file, the line and the accepted form.
 */
public final class SettingsReader {

  private final ObjectMapper mapper =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_YAML_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(SerializationFeature.INDENT_OUTPUT)
          .visibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
          .build();

  /**
   * Reads a settings file and fills in the defaults.
   *
   * @param file settings file, never null
   * @param defaults values for keys that are not in the file, never null
   * @param <T> type of the settings, a record whose constructor validates its arguments
   * @return the settings, or a failure that gives the location and kind of the error
   */
  public <T extends Settings> Either<Failure, T> read(Path file, T defaults) {
    try {
      return parse(file.toString(), Files.readString(file), defaults);
    } catch (IOException e) {
      return Either.left(
          Failure.invalid(file + ": cannot be read; accepted: a readable JSON file with comments"));
    }
  }

  /**
   * Parses settings from text and fills in the defaults.
   *
   * @param source name of the text in error messages
   */
  public <T extends Settings> Either<Failure, T> parse(String source, String text, T defaults) {
    try {
      JsonNode given = mapper.readTree(text);
      if (!given.isObject()) {
        return Either.left(
            Failure.invalid(source + ":1: settings must be one JSON object: { \"key\": value }"));
      }
      ObjectNode merged = mapper.valueToTree(defaults);
      merge(merged, (ObjectNode) given);
      @SuppressWarnings("unchecked")
      Class<T> type = (Class<T>) defaults.getClass();
      return Either.right(mapper.treeToValue(merged, type));
    } catch (JsonMappingException e) {
      return Either.left(Failure.invalid(describe(source, text, e, mapper.valueToTree(defaults))));
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      return Either.left(
          Failure.invalid(source + ":" + line + ": not JSON: " + e.getOriginalMessage()));
    }
  }

  /** Returns settings as JSON, for {@code --print-defaults}. */
  public String toJson(Settings settings) {
    try {
      return mapper.writeValueAsString(settings);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("settings cannot be written as JSON", e);
    }
  }

  private static void merge(ObjectNode base, ObjectNode overrides) {
    for (Map.Entry<String, JsonNode> field : overrides.properties()) {
      JsonNode value = base.get(field.getKey());
      if (value instanceof ObjectNode baseObject
          && field.getValue() instanceof ObjectNode overridingObject
          && !baseObject.isEmpty()) {
        merge(baseObject, overridingObject);
      } else {
        base.set(field.getKey(), field.getValue());
      }
    }
  }

  /** Describes a mapping error with its location and the accepted form. */
  private String describe(String source, String text, JsonMappingException e, JsonNode defaults) {
    String path =
        e.getPath().stream()
            .map(r -> r.getFieldName() == null ? "" + r.getIndex() : r.getFieldName())
            .collect(Collectors.joining("/", "/", ""));
    int line = findLines(text).getOrDefault(path, 1);
    String location = source + ":" + line + ": ";
    if (e instanceof UnrecognizedPropertyException unknown) {
      return location
          + "unknown key '"
          + unknown.getPropertyName()
          + "'; accepted keys: "
          + unknown.getKnownPropertyIds().stream().map(Object::toString).sorted().toList();
    }
    Throwable cause = e.getCause();
    if (cause instanceof IllegalArgumentException) {
      return location + cause.getMessage();
    }
    JsonNode accepted = defaults.at(path);
    return location
        + "wrong value for '"
        + path.substring(1)
        + "'; example of the accepted form: "
        + (accepted.isMissingNode() ? e.getOriginalMessage() : accepted.toString());
  }

  /** Returns the line of each key by its JSON pointer, such as {@code /limits/cold}. */
  private Map<String, Integer> findLines(String text) {
    Map<String, Integer> lines = new HashMap<>();
    try (JsonParser parser = mapper.createParser(text)) {
      while (parser.nextToken() != null) {
        if (parser.currentToken() == JsonToken.FIELD_NAME) {
          String pointer = parser.getParsingContext().pathAsPointer().toString();
          lines.put(pointer, parser.currentTokenLocation().getLineNr());
        }
      }
    } catch (IOException e) {
      return lines;
    }
    return lines;
  }
}
