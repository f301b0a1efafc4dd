package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.rules.Rule;
import org.cornelchute.policy.rules.RuleLine;
import org.cornelchute.policy.rules.Rules;

/**
 * Takes a failure domain out of service or brings it back, by editing the newest accepted rules.
 */
final class DomainCommand implements Command {

  private static final int MAX_ATTEMPTS = 5;

  private final boolean takeOut;

  DomainCommand(boolean takeOut) {
    this.takeOut = takeOut;
  }

  @Override
  public String name() {
    return takeOut ? "out" : "in";
  }

  @Override
  public String arguments() {
    return "DOMAIN";
  }

  @Override
  public String summary() {
    return takeOut
        ? "take a failure domain out of service; it gets no new work within seconds"
        : "bring a failure domain back into service";
  }

  @Override
  public int run(CommandContext context, List<String> arguments) {
    String domain = arguments.get(0);
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      Either<Failure, RulesLog.Head> head = context.rulesLog().readHead();
      Either<Failure, String> text = head.flatMap(context.rulesLog()::readText);
      Either<Failure, Rules> rules =
          text.flatMap(
              content -> RulesFiles.parse("rules in force", head.get().version(), content));
      if (rules.isLeft()) {
        return context.fail(rules.getLeft());
      }
      String resolved = rules.get().resolve(domain);
      if (rules.get().isDomainOut(resolved) == takeOut) {
        context.print(
            head.get(), resolved + " is " + (takeOut ? "out" : "in service") + " already");
        return ExitCode.OK;
      }
      String changed = editRules(rules.get(), text.get(), resolved, context.author());
      Either<Failure, Rules> checked = RulesFiles.parse("changed rules", 1, changed);
      if (checked.isLeft()) {
        return context.fail(checked.getLeft());
      }
      int code = ApplyCommand.appendAndWait(context, head.get(), changed);
      if (code != ExitCode.CONFLICT) {
        return code;
      }
    }
    return context.fail(
        new Failure(
            Failure.Code.CONFLICT,
            "the rules were changed by others during every attempt; run the command again"));
  }

  private String editRules(Rules rules, String text, String domain, String author) {
    List<String> lines = new ArrayList<>(text.lines().toList());
    if (takeOut) {
      lines.add("out " + domain + " # asked: " + author);
      return String.join("\n", lines) + "\n";
    }
    List<Integer> removedIndexes = new ArrayList<>();
    for (RuleLine ruleLine : rules.lines()) {
      if (ruleLine.rule() instanceof Rule.DomainOut domainOut
          && rules.resolve(domainOut.domain()).equals(domain)) {
        // Highest index first, so that each removal leaves the remaining indexes valid.
        removedIndexes.add(0, ruleLine.line() - 1);
      }
    }
    removedIndexes.forEach(index -> lines.remove((int) index));
    return String.join("\n", lines) + "\n";
  }
}
