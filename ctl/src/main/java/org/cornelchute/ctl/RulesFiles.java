package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.rules.RuleError;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.rules.RulesParser;

/** Reads, parses and compares rules files. */
final class RulesFiles {

  private RulesFiles() {}

  /** Reads a file. */
  static Either<Failure, String> readFile(String file) {
    try {
      return Either.right(Files.readString(Path.of(file)));
    } catch (IOException e) {
      return Either.left(
          Failure.invalid(file + ": cannot be read; accepted: a readable rules file"));
    }
  }

  /** Parses rules. On errors, the failure's message has one line for each error. */
  static Either<Failure, Rules> parse(String source, long version, String text) {
    Either<List<RuleError>, Rules> parsed = RulesParser.parse(version, text);
    if (parsed.isRight()) {
      return Either.right(parsed.get());
    }
    StringBuilder message = new StringBuilder();
    for (RuleError error : parsed.getLeft()) {
      message.append(message.isEmpty() ? "" : "\n").append(source).append(':').append(error);
    }
    return Either.left(Failure.invalid(message.toString()));
  }

  /**
   * Returns the removed lines, prefixed with {@code -}, then the added lines, prefixed with {@code
   * +}. The order of the lines is not compared.
   */
  static List<String> diff(String before, String after) {
    List<String> removed = new ArrayList<>(before.lines().toList());
    List<String> changes = new ArrayList<>();
    List<String> added = new ArrayList<>();
    for (String line : after.lines().toList()) {
      if (!removed.remove(line)) {
        added.add("+ " + line);
      }
    }
    for (String line : removed) {
      changes.add("- " + line);
    }
    changes.addAll(added);
    return changes;
  }
}
