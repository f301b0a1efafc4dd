package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.platform.ConfigurationRecord;
import org.cornelchute.policy.rules.RuleLine;
import org.cornelchute.policy.rules.Rules;

/** Commands that read the log of accepted rules. */
final class RulesLogCommands {

  private static final int MAX_HISTORY = 20;

  private RulesLogCommands() {}

  /** Shows the text of a version. */
  static final class Show implements Command {

    @Override
    public String name() {
      return "show";
    }

    @Override
    public String arguments() {
      return "[VERSION]";
    }

    @Override
    public String summary() {
      return "show the newest accepted rules, or those of a version";
    }

    @Override
    public int run(CommandContext context, List<String> arguments) {
      Either<Failure, Long> version =
          arguments.isEmpty()
              ? context.rulesLog().readHead().map(RulesLog.Head::version)
              : parse(arguments.get(0));
      Either<Failure, ConfigurationRecord> record =
          version.flatMap(context.rulesLog()::readVersion);
      if (record.isLeft()) {
        return context.fail(record.getLeft());
      }
      context.print(record.get(), record.get().text());
      return ExitCode.OK;
    }

    private static Either<Failure, Long> parse(String text) {
      return text.matches("[0-9]{1,18}")
          ? Either.right(Long.parseLong(text))
          : Either.left(
              Failure.invalid("'" + text + "' is not a version; accepted: a version number"));
    }
  }

  /** Lists the newest accepted versions. */
  static final class History implements Command {

    @Override
    public String name() {
      return "history";
    }

    @Override
    public String arguments() {
      return "";
    }

    @Override
    public String summary() {
      return "list the newest accepted versions: who, when and what changed";
    }

    @Override
    public int run(CommandContext context, List<String> arguments) {
      Either<Failure, RulesLog.Head> head = context.rulesLog().readHead();
      if (head.isLeft()) {
        return context.fail(head.getLeft());
      }
      List<ConfigurationRecord> records = new ArrayList<>();
      long newest = head.get().version();
      for (long version = newest; version > 0 && version > newest - MAX_HISTORY; version--) {
        Either<Failure, ConfigurationRecord> record = context.rulesLog().readVersion(version);
        if (record.isLeft()) {
          return context.fail(record.getLeft());
        }
        records.add(record.get());
      }
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < records.size(); i++) {
        ConfigurationRecord record = records.get(i);
        text.append(record.version()).append("  ").append(Instant.ofEpochMilli(record.atMillis()));
        text.append("  ").append(record.author()).append('\n');
        boolean predecessorKnown = i + 1 < records.size() || record.version() == 1;
        String previousText = i + 1 < records.size() ? records.get(i + 1).text() : "";
        if (predecessorKnown) {
          RulesFiles.diff(previousText, record.text())
              .forEach(change -> text.append("    ").append(change).append('\n'));
        }
      }
      context.print(records, text.toString().stripTrailing());
      return ExitCode.OK;
    }
  }

  /** Shows the rules that mention a name. */
  static final class Explain implements Command {

    @Override
    public String name() {
      return "explain";
    }

    @Override
    public String arguments() {
      return "NAME";
    }

    @Override
    public String summary() {
      return "resolve an alias and show every rule that mentions the name, with who asked for it";
    }

    @Override
    public int run(CommandContext context, List<String> arguments) {
      Either<Failure, RulesLog.Head> head = context.rulesLog().readHead();
      Either<Failure, String> text = head.flatMap(context.rulesLog()::readText);
      Either<Failure, Rules> rules =
          text.flatMap(content -> RulesFiles.parse("rules", head.get().version(), content));
      if (rules.isLeft()) {
        return context.fail(rules.getLeft());
      }
      String name = arguments.get(0);
      String resolved = rules.get().resolve(name);
      List<String> lines = text.get().lines().toList();
      List<RuleLine> found = new ArrayList<>();
      StringBuilder answer = new StringBuilder(name);
      answer.append(resolved.equals(name) ? " is not an alias" : " is an alias of " + resolved);
      for (RuleLine ruleLine : rules.get().lines()) {
        String line = lines.get(ruleLine.line() - 1);
        if (line.contains(name) || line.contains(resolved)) {
          found.add(ruleLine);
          answer.append("\n  line ").append(ruleLine.line()).append(": ").append(line);
        }
      }
      context.print(found, answer.toString());
      return found.isEmpty() ? ExitCode.FAILED : ExitCode.OK;
    }
  }
}
