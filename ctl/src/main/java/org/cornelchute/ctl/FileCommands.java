package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.util.List;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.rules.Rules;

/** Read-only commands on a rules file. */
final class FileCommands {

  private FileCommands() {}

  /** Validates a file. */
  static final class Check implements Command {

    @Override
    public String name() {
      return "check";
    }

    @Override
    public String arguments() {
      return "FILE";
    }

    @Override
    public String summary() {
      return "validate a rules file; report every error with line, column and accepted form";
    }

    @Override
    public int run(CommandContext context, List<String> arguments) {
      String file = arguments.get(0);
      Either<Failure, Rules> rules =
          RulesFiles.readFile(file).flatMap(text -> RulesFiles.parse(file, 1, text));
      if (rules.isLeft()) {
        return context.fail(rules.getLeft());
      }
      context.print(
          rules.get().lines(), file + ": " + rules.get().lines().size() + " rules, valid");
      return ExitCode.OK;
    }
  }

  /** Compares a file with the rules in force. */
  static final class Diff implements Command {

    @Override
    public String name() {
      return "diff";
    }

    @Override
    public String arguments() {
      return "FILE";
    }

    @Override
    public String summary() {
      return "show the lines that applying a file would remove (-) and add (+)";
    }

    @Override
    public int run(CommandContext context, List<String> arguments) {
      Either<Failure, String> text = RulesFiles.readFile(arguments.get(0));
      Either<Failure, String> current =
          context.rulesLog().readHead().flatMap(context.rulesLog()::readText);
      if (text.isLeft() || current.isLeft()) {
        return context.fail(text.isLeft() ? text.getLeft() : current.getLeft());
      }
      List<String> changes = RulesFiles.diff(current.get(), text.get());
      context.print(changes, changes.isEmpty() ? "no difference" : String.join("\n", changes));
      return ExitCode.OK;
    }
  }
}
