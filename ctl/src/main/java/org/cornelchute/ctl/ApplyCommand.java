package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.rules.Rules;

/** Accepts a rules file as the next version and waits until it is in force. */
final class ApplyCommand implements Command {

  private static final long POLL_INTERVAL_MILLIS = 200;

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String arguments() {
    return "FILE";
  }

  @Override
  public String summary() {
    return "check a rules file, accept it as the next version, wait until it is in force";
  }

  @Override
  public int run(CommandContext c, List<String> arguments) {
    Either<Failure, String> text = RulesFiles.readFile(arguments.get(0));
    if (text.isLeft()) {
      return c.fail(text.getLeft());
    }
    Either<Failure, Rules> checked = RulesFiles.parse(arguments.get(0), 1, text.get());
    if (checked.isLeft()) {
      return c.fail(checked.getLeft());
    }
    Either<Failure, RulesLog.Head> head = c.rulesLog().readHead();
    if (head.isLeft()) {
      return c.fail(head.getLeft());
    }
    return appendAndWait(c, head.get(), text.get());
  }

  /** Appends a text above a head that was read before, and waits. */
  static int appendAndWait(CommandContext c, RulesLog.Head head, String text) {
    Either<Failure, Long> accepted = c.rulesLog().append(head, text, c.author());
    if (accepted.isLeft()) {
      if (accepted.getLeft().code() == Failure.Code.CONFLICT) {
        showAcceptedChange(c, text);
      }
      return c.fail(accepted.getLeft());
    }
    return awaitInForce(c, accepted.get());
  }

  private static void showAcceptedChange(CommandContext c, String text) {
    Either<Failure, RulesLog.Head> head = c.rulesLog().readHead();
    Either<Failure, String> winner = head.flatMap(c.rulesLog()::readText);
    if (winner.isRight()) {
      c.err().println("accepted meanwhile: version " + head.get().version() + "; difference:");
      RulesFiles.diff(winner.get(), text).forEach(c.err()::println);
    }
  }

  /** Waits until every member has a version in force; laggards are named. */
  private static int awaitInForce(CommandContext c, long version) {
    long until = System.currentTimeMillis() + c.waitSeconds() * 1_000L;
    List<String> late = new ArrayList<>();
    int all = 0;
    do {
      Either<Failure, List<Member>> members = c.members().listMembers();
      if (members.isLeft()) {
        c.err().println("cornelctl: " + members.getLeft().message());
        break;
      }
      late.clear();
      all = members.get().size();
      Map<String, Long> versions = c.members().fetchRulesVersions(members.get());
      for (Member m : members.get()) {
        if (versions.getOrDefault(m.id(), 0L) < version && !m.leaving()) {
          late.add(m.id());
        }
      }
      if (late.isEmpty()) {
        break;
      }
      sleep();
    } while (System.currentTimeMillis() < until);
    Applied result = new Applied(version, all - late.size(), all, late);
    c.print(
        result,
        "accepted as version "
            + version
            + ", in force at "
            + result.inForce()
            + " of "
            + all
            + (late.isEmpty() ? "" : "; not yet at " + late));
    return ExitCode.OK;
  }

  private static void sleep() {
    try {
      Thread.sleep(POLL_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private record Applied(long version, int inForce, int members, List<String> late) {}
}
