package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.rules.Rule;
import org.cornelchute.policy.rules.RuleLine;
import org.cornelchute.policy.rules.Rules;

/** Takes a failure domain out of service or back, without an edit of the rules file. */
final class DomainCommand implements Command {

  private static final int TRIES = 5;

  private final boolean out;

  DomainCommand(boolean out) {
    this.out = out;
  }

  @Override
  public String name() {
    return out ? "out" : "in";
  }

  @Override
  public String arguments() {
    return "DOMAIN";
  }

  @Override
  public String summary() {
    return out
        ? "take a failure domain out of service: no new work within seconds"
        : "bring a failure domain back into service";
  }

  @Override
  public int run(Context c, List<String> arguments) {
    String domain = arguments.get(0);
    for (int i = 0; i < TRIES; i++) {
      Either<Failure, RulesLog.Head> head = c.log().head();
      Either<Failure, String> text = head.flatMap(c.log()::text);
      Either<Failure, Rules> rules =
          text.flatMap(t -> RulesText.check("rules in force", head.get().version(), t));
      if (rules.isLeft()) {
        return c.fail(rules.getLeft());
      }
      String resolved = rules.get().resolve(domain);
      if (rules.get().isDomainOut(resolved) == out) {
        c.print(head.get(), resolved + " is " + (out ? "out" : "in service") + " already");
        return ExitCode.OK;
      }
      String changed = change(rules.get(), text.get(), resolved, c.author());
      Either<Failure, Rules> checked = RulesText.check("changed rules", 1, changed);
      if (checked.isLeft()) {
        return c.fail(checked.getLeft());
      }
      int code = ApplyCommand.accept(c, head.get(), changed);
      if (code != ExitCode.CONFLICT) {
        return code;
      }
    }
    return c.fail(new Failure(Failure.Code.CONFLICT, "others keep changing the rules; try again"));
  }

  private String change(Rules rules, String text, String domain, String author) {
    List<String> lines = new ArrayList<>(text.lines().toList());
    if (out) {
      lines.add("out " + domain + " # asked: " + author);
      return String.join("\n", lines) + "\n";
    }
    List<Integer> drop = new ArrayList<>();
    for (RuleLine l : rules.lines()) {
      if (l.rule() instanceof Rule.DomainOut o && rules.resolve(o.domain()).equals(domain)) {
        drop.add(0, l.line() - 1);
      }
    }
    drop.forEach(i -> lines.remove((int) i));
    return String.join("\n", lines) + "\n";
  }
}
