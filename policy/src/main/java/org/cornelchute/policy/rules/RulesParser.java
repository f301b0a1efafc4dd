package org.cornelchute.policy.rules;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses a rules file, which has one rule per line and a comment that says who asked for the rule.
 *
 * <p>The grammar is documented in docs/operators/rules.md. All errors in a file are reported
 * together, and a file with an error is rejected completely.
 */
public final class RulesParser {

  private static final Pattern NAME =
      Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*(/[A-Za-z0-9._-]+)?");
  private static final Pattern RATE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)rps");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern WORD = Pattern.compile("\\S+");
  private static final int MAX_REPLICAS = 10_000;
  private static final int MAX_WEIGHT = 1_000_000;
  private static final String KEYWORDS =
      "place, alias, weight, limit, priority, out, norepeat, repeat, key";

  private final List<RuleError> errors = new ArrayList<>();
  private final List<RuleLine> lines = new ArrayList<>();
  private int line;

  private RulesParser() {}

  /**
   * Parses a rules file.
   *
   * @param version version of the resulting rules
   * @param text content of the file, never null
   * @return the rules, or all errors: first those of single lines, then conflicts between lines
   */
  public static Either<List<RuleError>, Rules> parse(long version, String text) {
    RulesParser parser = new RulesParser();
    for (String rawLine : text.split("\n", -1)) {
      parser.line++;
      parser.parseLine(rawLine.stripTrailing());
    }
    parser.checkConflicts();
    if (!parser.errors.isEmpty()) {
      return Either.left(List.copyOf(parser.errors));
    }
    return Either.right(new Rules(version, parser.lines));
  }

  private void parseLine(String rawLine) {
    int hash = rawLine.indexOf('#');
    String body = hash < 0 ? rawLine : rawLine.substring(0, hash);
    List<Word> words = splitWords(body);
    if (words.isEmpty()) {
      return;
    }
    String asked =
        hash < 0 ? "" : rawLine.substring(hash + 1).replaceFirst("^\\s*asked:", "").strip();
    if (asked.isEmpty()) {
      addError(
          rawLine.length() + 1,
          "missing comment that says who asked for the rule",
          "end the line with '# asked: NAME'");
    }
    int errorsBefore = errors.size();
    Rule rule = parseRule(words);
    if (rule != null && errors.size() == errorsBefore) {
      lines.add(new RuleLine(line, rule, asked));
    }
  }

  private Rule parseRule(List<Word> words) {
    switch (words.get(0).text) {
      case "place":
        return parsePlace(words);
      case "alias":
        return parseAlias(words);
      case "weight":
        return hasWordCount(words, 3, "weight WORKSPACE NUMBER")
            ? new Rule.Weight(parseName(words.get(1)), parseNumber(words.get(2), 1, MAX_WEIGHT))
            : null;
      case "limit":
        return parseLimit(words);
      case "priority":
        return hasWordCount(words, 4, "priority WORKSPACE SERVICE NUMBER")
            ? new Rule.Priority(
                parseName(words.get(1)), parseName(words.get(2)), parseNumber(words.get(3), 0, 9))
            : null;
      case "out":
        return hasWordCount(words, 2, "out DOMAIN")
            ? new Rule.DomainOut(parseName(words.get(1)))
            : null;
      case "norepeat":
        return hasWordCount(words, 4, "norepeat SERVICE METHOD /PATH")
            ? new Rule.NoRepeat(
                parseName(words.get(1)), parseMethod(words.get(2)), parsePath(words.get(3)))
            : null;
      case "repeat":
        return hasWordCount(words, 4, "repeat SERVICE METHOD /PATH")
            ? new Rule.Repeat(
                parseName(words.get(1)), parseMethod(words.get(2)), parsePath(words.get(3)))
            : null;
      case "key":
        return parseKey(words);
      default:
        addError(
            words.get(0).column,
            "unknown rule '" + words.get(0).text + "'",
            "write one of: " + KEYWORDS);
        return null;
    }
  }

  private Rule parsePlace(List<Word> words) {
    String form = "place MODEL VERSION on DOMAIN=COUNT ... [unavailable=COUNT]";
    if (words.size() < 5 || !words.get(3).text.equals("on")) {
      addError(words.get(0).column, "incomplete placement", "write: " + form);
      return null;
    }
    Map<String, Integer> replicas = new LinkedHashMap<>();
    int unavailable = 1;
    for (Word word : words.subList(4, words.size())) {
      int equalsIndex = word.text.indexOf('=');
      if (equalsIndex < 1) {
        addError(
            word.column,
            "'" + word.text + "' does not have the form DOMAIN=COUNT",
            "write: " + form);
        continue;
      }
      String key = word.text.substring(0, equalsIndex);
      Word value = new Word(word.text.substring(equalsIndex + 1), word.column + equalsIndex + 1);
      if (key.equals("unavailable")) {
        unavailable = parseNumber(value, 1, MAX_REPLICAS);
      } else if (replicas.put(key, parseNumber(value, 0, MAX_REPLICAS)) != null) {
        addError(
            word.column,
            "failure domain '" + key + "' is listed more than once",
            "list each failure domain once");
      }
    }
    return new Rule.Place(parseName(words.get(1)), words.get(2).text, replicas, unavailable);
  }

  private Rule parseAlias(List<Word> words) {
    if (words.size() != 4 || !words.get(2).text.equals("=")) {
      addError(words.get(0).column, "incomplete alias", "write: alias NAME = NAME");
      return null;
    }
    return new Rule.Alias(parseName(words.get(1)), parseName(words.get(3)));
  }

  private Rule parseLimit(List<Word> words) {
    if (words.size() < 3 || words.size() > 4) {
      addError(words.get(0).column, "incomplete limit", "write: limit WORKSPACE 20rps [burst=40]");
      return null;
    }
    Matcher matcher = RATE.matcher(words.get(2).text);
    if (!matcher.matches()) {
      addError(
          words.get(2).column,
          "'" + words.get(2).text + "' is not a rate",
          "write requests per second, such as 20rps");
      return null;
    }
    double rate = Double.parseDouble(matcher.group(1));
    double burst = Math.max(1, rate);
    if (words.size() == 4) {
      Word option = words.get(3);
      if (!option.text.startsWith("burst=")) {
        addError(
            option.column,
            "'" + option.text + "' is not a burst",
            "write a number of requests, such as burst=40");
        return null;
      }
      burst = parseNumber(new Word(option.text.substring(6), option.column + 6), 1, MAX_WEIGHT);
    }
    return new Rule.Limit(parseName(words.get(1)), rate, burst);
  }

  private Rule parseKey(List<Word> words) {
    if (!hasWordCount(words, 3, "key WORKSPACE SHA256")) {
      return null;
    }
    if (!SHA256.matcher(words.get(2).text).matches()) {
      addError(
          words.get(2).column,
          "the key's digest is not a SHA-256 in lower-case hex",
          "write the digest of the key, never the key; 'cornelctl digest' prints it");
      return null;
    }
    return new Rule.Key(parseName(words.get(1)), words.get(2).text);
  }

  /** Reports ambiguous names, settings given twice, and aliases of aliases or of placed models. */
  private void checkConflicts() {
    Map<String, RuleLine> linesByModel = new HashMap<>();
    Map<String, RuleLine> linesByNameWithoutFleet = new HashMap<>();
    Map<String, RuleLine> linesByAlias = new HashMap<>();
    Map<String, RuleLine> linesByKindAndName = new HashMap<>();
    for (RuleLine current : lines) {
      line = current.line();
      if (current.rule() instanceof Rule.Place place) {
        reportDuplicate(
            linesByModel.put(place.model(), current), "model '" + place.model() + "' is placed");
        RuleLine earlier =
            linesByNameWithoutFleet.put(FleetNames.withoutFleet(place.model()), current);
        if (earlier != null
            && earlier.rule() instanceof Rule.Place earlierPlace
            && !earlierPlace.model().equals(place.model())
            && !(FleetNames.hasFleet(place.model()) && FleetNames.hasFleet(earlierPlace.model()))) {
          addError(
              1,
              "model name '"
                  + place.model()
                  + "' is ambiguous because of '"
                  + earlierPlace.model()
                  + "' in line "
                  + earlier.line(),
              "write the fleet before each name, as fleet/name");
        }
      } else if (current.rule() instanceof Rule.Alias alias) {
        reportDuplicate(
            linesByAlias.put(alias.alias(), current), "alias '" + alias.alias() + "' is defined");
      } else if (current.rule() instanceof Rule.Weight weight) {
        reportDuplicate(
            linesByKindAndName.put("w " + weight.workspace(), current),
            "weight of '" + weight.workspace() + "' is set");
      } else if (current.rule() instanceof Rule.Limit limit) {
        reportDuplicate(
            linesByKindAndName.put("l " + limit.workspace(), current),
            "limit of '" + limit.workspace() + "' is set");
      } else if (current.rule() instanceof Rule.Key key) {
        reportDuplicate(
            linesByKindAndName.put("k " + key.sha256(), current),
            "the key is assigned to a workspace");
      }
    }
    for (Map.Entry<String, RuleLine> entry : linesByAlias.entrySet()) {
      Rule.Alias alias = (Rule.Alias) entry.getValue().rule();
      line = entry.getValue().line();
      if (linesByAlias.containsKey(alias.name())) {
        addError(
            1,
            "alias '" + alias.alias() + "' refers to another alias",
            "refer to the final name instead");
      }
      if (linesByModel.containsKey(alias.alias())) {
        addError(
            1,
            "alias '"
                + alias.alias()
                + "' hides the model placed in line "
                + linesByModel.get(alias.alias()).line(),
            "choose another alias");
      }
    }
  }

  private void reportDuplicate(RuleLine earlier, String what) {
    if (earlier != null) {
      addError(1, what + " in line " + earlier.line() + " as well", "keep one of the two lines");
    }
  }

  private boolean hasWordCount(List<Word> words, int count, String form) {
    if (words.size() == count) {
      return true;
    }
    addError(
        words.get(0).column,
        words.size() < count ? "incomplete rule" : "too many words",
        "write: " + form);
    return false;
  }

  private String parseName(Word word) {
    if (!NAME.matcher(word.text).matches()) {
      addError(
          word.column,
          "'" + word.text + "' is not a valid name",
          "use letters, digits, '.', '_', '-' and at most one '/'");
    }
    return word.text;
  }

  private String parseMethod(Word word) {
    if (!word.text.matches("[A-Z]+|\\*")) {
      addError(
          word.column,
          "'" + word.text + "' is not an HTTP method",
          "write the method in upper case, such as POST, or * for all methods");
    }
    return word.text;
  }

  private String parsePath(Word word) {
    if (!word.text.startsWith("/")) {
      addError(word.column, "'" + word.text + "' is not a path", "start the path with /");
    }
    return word.text;
  }

  private int parseNumber(Word word, int low, int high) {
    try {
      int value = Integer.parseInt(word.text);
      if (value >= low && value <= high) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, together with numbers out of range.
    }
    addError(
        word.column,
        "'" + word.text + "' is not an integer in the accepted range",
        "write an integer from " + low + " to " + high);
    return low;
  }

  private void addError(int column, String message, String suggestion) {
    errors.add(new RuleError(line, column, message, suggestion));
  }

  private static List<Word> splitWords(String body) {
    List<Word> words = new ArrayList<>();
    Matcher matcher = WORD.matcher(body);
    while (matcher.find()) {
      words.add(new Word(matcher.group(), matcher.start() + 1));
    }
    return words;
  }

  private record Word(String text, int column) {}
}
