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
 * Reads a rules file: one rule a line, with a comment on who asked.
 *
 * <p>The grammar is written in docs/operators/rules.md. All faults of a file are reported at once
 * and nothing of a faulty file is accepted.
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
   * Parses a file.
   *
   * @param version version that the result carries
   * @param text the whole file, never null
   * @return the rules, or every fault found, in the order of the lines
   */
  public static Either<List<RuleError>, Rules> parse(long version, String text) {
    RulesParser parser = new RulesParser();
    for (String raw : text.split("\n", -1)) {
      parser.line++;
      parser.parseLine(raw.stripTrailing());
    }
    parser.checkClashes();
    if (!parser.errors.isEmpty()) {
      return Either.left(List.copyOf(parser.errors));
    }
    return Either.right(new Rules(version, parser.lines));
  }

  private void parseLine(String raw) {
    int hash = raw.indexOf('#');
    String body = hash < 0 ? raw : raw.substring(0, hash);
    List<Word> words = split(body);
    if (words.isEmpty()) {
      return;
    }
    String asked = hash < 0 ? "" : raw.substring(hash + 1).replaceFirst("^\\s*asked:", "").strip();
    if (asked.isEmpty()) {
      fail(raw.length() + 1, "no comment says who asked", "end the line with '# asked: NAME'");
    }
    int before = errors.size();
    Rule rule = parseRule(words);
    if (rule != null && errors.size() == before) {
      lines.add(new RuleLine(line, rule, asked));
    }
  }

  private Rule parseRule(List<Word> w) {
    switch (w.get(0).text) {
      case "place":
        return parsePlace(w);
      case "alias":
        return parseAlias(w);
      case "weight":
        return arity(w, 3, "weight WORKSPACE NUMBER")
            ? new Rule.Weight(name(w.get(1)), number(w.get(2), 1, MAX_WEIGHT))
            : null;
      case "limit":
        return parseLimit(w);
      case "priority":
        return arity(w, 4, "priority WORKSPACE SERVICE NUMBER")
            ? new Rule.Priority(name(w.get(1)), name(w.get(2)), number(w.get(3), 0, 9))
            : null;
      case "out":
        return arity(w, 2, "out DOMAIN") ? new Rule.DomainOut(name(w.get(1))) : null;
      case "norepeat":
        return arity(w, 4, "norepeat SERVICE METHOD /PATH")
            ? new Rule.NoRepeat(name(w.get(1)), method(w.get(2)), path(w.get(3)))
            : null;
      case "repeat":
        return arity(w, 4, "repeat SERVICE METHOD /PATH")
            ? new Rule.Repeat(name(w.get(1)), method(w.get(2)), path(w.get(3)))
            : null;
      case "key":
        return parseKey(w);
      default:
        fail(w.get(0).column, "unknown rule '" + w.get(0).text + "'", "write one of: " + KEYWORDS);
        return null;
    }
  }

  private Rule parsePlace(List<Word> w) {
    String form = "place MODEL VERSION on DOMAIN=COUNT ... [unavailable=COUNT]";
    if (w.size() < 5 || !w.get(3).text.equals("on")) {
      fail(w.get(0).column, "incomplete placement", "write: " + form);
      return null;
    }
    Map<String, Integer> replicas = new LinkedHashMap<>();
    int unavailable = 1;
    for (Word each : w.subList(4, w.size())) {
      int eq = each.text.indexOf('=');
      if (eq < 1) {
        fail(each.column, "'" + each.text + "' is not DOMAIN=COUNT", "write: " + form);
        continue;
      }
      String key = each.text.substring(0, eq);
      Word value = new Word(each.text.substring(eq + 1), each.column + eq + 1);
      if (key.equals("unavailable")) {
        unavailable = number(value, 1, MAX_REPLICAS);
      } else if (replicas.put(key, number(value, 0, MAX_REPLICAS)) != null) {
        fail(each.column, "failure domain '" + key + "' is named twice", "name each once");
      }
    }
    return new Rule.Place(name(w.get(1)), w.get(2).text, replicas, unavailable);
  }

  private Rule parseAlias(List<Word> w) {
    if (w.size() != 4 || !w.get(2).text.equals("=")) {
      fail(w.get(0).column, "incomplete alias", "write: alias NAME = NAME");
      return null;
    }
    return new Rule.Alias(name(w.get(1)), name(w.get(3)));
  }

  private Rule parseLimit(List<Word> w) {
    if (w.size() < 3 || w.size() > 4) {
      fail(w.get(0).column, "incomplete limit", "write: limit WORKSPACE 20rps [burst=40]");
      return null;
    }
    Matcher m = RATE.matcher(w.get(2).text);
    if (!m.matches()) {
      fail(w.get(2).column, "'" + w.get(2).text + "' is not a rate", "write requests/s: 20rps");
      return null;
    }
    double rate = Double.parseDouble(m.group(1));
    double burst = Math.max(1, rate);
    if (w.size() == 4) {
      Word b = w.get(3);
      if (!b.text.startsWith("burst=")) {
        fail(b.column, "'" + b.text + "' is not a burst", "write: burst=40");
        return null;
      }
      burst = number(new Word(b.text.substring(6), b.column + 6), 1, MAX_WEIGHT);
    }
    return new Rule.Limit(name(w.get(1)), rate, burst);
  }

  private Rule parseKey(List<Word> w) {
    if (!arity(w, 3, "key WORKSPACE SHA256")) {
      return null;
    }
    if (!SHA256.matcher(w.get(2).text).matches()) {
      fail(
          w.get(2).column,
          "not a SHA-256 in lower-case hex",
          "write the digest of the key, never the key; 'cornelctl digest' prints it");
      return null;
    }
    return new Rule.Key(name(w.get(1)), w.get(2).text);
  }

  /** Finds names that cannot be told apart, and aliases that lead nowhere or in a circle. */
  private void checkClashes() {
    Map<String, RuleLine> placed = new HashMap<>();
    Map<String, RuleLine> bare = new HashMap<>();
    Map<String, RuleLine> aliases = new HashMap<>();
    Map<String, RuleLine> single = new HashMap<>();
    for (RuleLine l : lines) {
      line = l.line();
      if (l.rule() instanceof Rule.Place p) {
        reportTwice(placed.put(p.model(), l), "model '" + p.model() + "' is placed");
        RuleLine other = bare.put(FleetNames.withoutFleet(p.model()), l);
        if (other != null
            && other.rule() instanceof Rule.Place o
            && !o.model().equals(p.model())
            && !(FleetNames.hasFleet(p.model()) && FleetNames.hasFleet(o.model()))) {
          fail(
              1,
              "'" + p.model() + "' clashes with '" + o.model() + "' of line " + other.line(),
              "write the fleet before each name, as fleet/name");
        }
      } else if (l.rule() instanceof Rule.Alias a) {
        reportTwice(aliases.put(a.alias(), l), "alias '" + a.alias() + "' is set");
      } else if (l.rule() instanceof Rule.Weight x) {
        reportTwice(
            single.put("w " + x.workspace(), l), "weight of '" + x.workspace() + "' is set");
      } else if (l.rule() instanceof Rule.Limit x) {
        reportTwice(single.put("l " + x.workspace(), l), "limit of '" + x.workspace() + "' is set");
      } else if (l.rule() instanceof Rule.Key x) {
        reportTwice(single.put("k " + x.sha256(), l), "the key is given to a workspace");
      }
    }
    for (Map.Entry<String, RuleLine> e : aliases.entrySet()) {
      Rule.Alias a = (Rule.Alias) e.getValue().rule();
      line = e.getValue().line();
      if (aliases.containsKey(a.name())) {
        fail(1, "alias '" + a.alias() + "' names another alias", "name the final name instead");
      }
      if (placed.containsKey(a.alias())) {
        fail(
            1,
            "alias '"
                + a.alias()
                + "' hides the model placed in line "
                + placed.get(a.alias()).line(),
            "choose another alias");
      }
    }
  }

  private void reportTwice(RuleLine before, String what) {
    if (before != null) {
      fail(1, what + " in line " + before.line() + " too", "keep one of the two lines");
    }
  }

  private boolean arity(List<Word> w, int count, String form) {
    if (w.size() == count) {
      return true;
    }
    fail(
        w.get(0).column, w.size() < count ? "incomplete rule" : "too many words", "write: " + form);
    return false;
  }

  private String name(Word w) {
    if (!NAME.matcher(w.text).matches()) {
      fail(w.column, "'" + w.text + "' is not a name", "use letters, digits, . _ - and one /");
    }
    return w.text;
  }

  private String method(Word w) {
    if (!w.text.matches("[A-Z]+|\\*")) {
      fail(w.column, "'" + w.text + "' is not a method", "write it in capitals, as POST, or *");
    }
    return w.text;
  }

  private String path(Word w) {
    if (!w.text.startsWith("/")) {
      fail(w.column, "'" + w.text + "' is not a path", "begin it with /");
    }
    return w.text;
  }

  private int number(Word w, int low, int high) {
    try {
      int n = Integer.parseInt(w.text);
      if (n >= low && n <= high) {
        return n;
      }
    } catch (NumberFormatException e) {
      // Reported below, together with numbers out of range.
    }
    fail(
        w.column,
        "'" + w.text + "' is not accepted",
        "write a whole number from " + low + " to " + high);
    return low;
  }

  private void fail(int column, String message, String suggestion) {
    errors.add(new RuleError(line, column, message, suggestion));
  }

  private static List<Word> split(String body) {
    List<Word> words = new ArrayList<>();
    Matcher m = WORD.matcher(body);
    while (m.find()) {
      words.add(new Word(m.group(), m.start() + 1));
    }
    return words;
  }

  private record Word(String text, int column) {}
}
