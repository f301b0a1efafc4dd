package org.cornelchute.entry.direct;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.forward.PlacementQuery;

/** Reads the query of {@code GET /where}. */
final class PlacementQueryParser {

  private static final String HOST = "host";
  private static final String PATH = "path";
  private static final String WORKSPACE = "workspace";
  private static final String TOKENS = "tokens";
  private static final String PARTS = "parts";
  private static final String DEADLINE = "deadline";
  private static final Set<String> NAMES = Set.of(HOST, PATH, WORKSPACE, TOKENS, PARTS, DEADLINE);

  private static final int MAX_VALUE_CHARS = 2_048;
  private static final Pattern HOST_NAME = Pattern.compile("[0-9a-zA-Z._-]{1,253}");
  private static final Pattern TOKEN_COUNTS = Pattern.compile("([0-9]{1,9}),([0-9]{1,9})");
  private static final Pattern PART_LIST =
      Pattern.compile("[0-9a-fA-F]{1,16}:[0-9]{1,9}(,[0-9a-fA-F]{1,16}:[0-9]{1,9})*");
  private static final Pattern MILLIS = Pattern.compile("[1-9][0-9]{0,8}");

  private PlacementQueryParser() {}

  /**
   * Returns the call that a query describes, or what is wrong with the query.
   *
   * @param parameters values by name
   */
  static Either<Failure, PlacementQuery> parse(Map<String, List<String>> parameters) {
    for (String name : new TreeSet<>(parameters.keySet())) {
      if (!NAMES.contains(name)) {
        return invalid("unknown parameter; known are " + new TreeSet<>(NAMES));
      }
      List<String> values = parameters.get(name);
      if (values.size() > 1) {
        return invalid(name + " is given more than once");
      }
      if (values.get(0).length() > MAX_VALUE_CHARS) {
        return invalid(name + " is longer than " + MAX_VALUE_CHARS + " characters");
      }
    }
    String host = value(parameters, HOST);
    if (!HOST_NAME.matcher(host).matches()) {
      return invalid("host must be a host name without port");
    }
    String path = value(parameters, PATH);
    if (!path.startsWith("/") || path.indexOf('?') >= 0) {
      return invalid("path must begin with / and have no query");
    }
    String tokens = value(parameters, TOKENS);
    Matcher counts = TOKEN_COUNTS.matcher(tokens);
    boolean counted = counts.matches();
    if (!counted && !tokens.isEmpty()) {
      return invalid("tokens must be PROMPT,MAXIMUM_OUTPUT");
    }
    String parts = value(parameters, PARTS);
    if (!parts.isEmpty() && !PART_LIST.matcher(parts).matches()) {
      return invalid("parts must be ID:TOKENS,... with hexadecimal ids");
    }
    String deadline = value(parameters, DEADLINE);
    if (!deadline.isEmpty() && !MILLIS.matcher(deadline).matches()) {
      return invalid("deadline must be a positive number of milliseconds");
    }
    return Either.right(
        new PlacementQuery(
            host.toLowerCase(Locale.ROOT),
            path,
            value(parameters, WORKSPACE),
            deadline.isEmpty() ? Integer.MAX_VALUE : Long.parseLong(deadline),
            counted ? Long.parseLong(counts.group(1)) : 0,
            counted ? Long.parseLong(counts.group(2)) : 0,
            SharedPartsParser.parse(parts),
            SharedPartsParser.parseTokens(parts)));
  }

  private static String value(Map<String, List<String>> parameters, String name) {
    return parameters.getOrDefault(name, List.of("")).get(0);
  }

  private static Either<Failure, PlacementQuery> invalid(String message) {
    return Either.left(Failure.invalid(message));
  }
}
