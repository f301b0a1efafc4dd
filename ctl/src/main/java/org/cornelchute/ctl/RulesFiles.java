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

/** Reads, checks and compares rules files. */
final class RulesFiles {

  private RulesFiles() {}

  /** Reads a file. */
  static Either<Failure, String> readFile(String file) {
    try {
      return Either.right(Files.readString(Path.of(file)));
    } catch (IOException e) {
      return Either.left(Failure.invalid(file + ": cannot be read; give a readable rules file"));
    }
  }

  /** Checks a text; every fault is one line of the failure's message. */
  static Either<Failure, Rules> parse(String source, long version, String text) {
    Either<List<RuleError>, Rules> parsed = RulesParser.parse(version, text);
    if (parsed.isRight()) {
      return Either.right(parsed.get());
    }
    StringBuilder all = new StringBuilder();
    for (RuleError e : parsed.getLeft()) {
      all.append(all.isEmpty() ? "" : "\n").append(source).append(':').append(e);
    }
    return Either.left(Failure.invalid(all.toString()));
  }

  /** Lists lines removed ({@code -}) and added ({@code +}). */
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
