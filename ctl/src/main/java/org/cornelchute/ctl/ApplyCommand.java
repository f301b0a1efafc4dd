package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.rules.Rules;

/** Appends a rules file to the rules log as the next version and waits until it is in force. */
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
    return "validate a rules file, accept it as the next version, wait until it is in force";
  }

  @Override
  public int run(CommandContext context, List<String> arguments) {
    Either<Failure, String> text = RulesFiles.readFile(arguments.get(0));
    if (text.isLeft()) {
      return context.fail(text.getLeft());
    }
    Either<Failure, Rules> checked = RulesFiles.parse(arguments.get(0), 1, text.get());
    if (checked.isLeft()) {
      return context.fail(checked.getLeft());
    }
    Either<Failure, RulesLog.Head> head = context.rulesLog().readHead();
    if (head.isLeft()) {
      return context.fail(head.getLeft());
    }
    return appendAndWait(context, head.get(), text.get());
  }

  /** Appends a version after {@code head} and waits until it is in force. */
  static int appendAndWait(CommandContext context, RulesLog.Head head, String text) {
    Either<Failure, Long> accepted = context.rulesLog().append(head, text, context.author());
    if (accepted.isLeft()) {
      if (accepted.getLeft().code() == Failure.Code.CONFLICT) {
        showAcceptedChange(context, text);
      }
      return context.fail(accepted.getLeft());
    }
    return awaitInForce(context, accepted.get());
  }

  private static void showAcceptedChange(CommandContext context, String text) {
    Either<Failure, RulesLog.Head> head = context.rulesLog().readHead();
    Either<Failure, String> acceptedText = head.flatMap(context.rulesLog()::readText);
    if (acceptedText.isRight()) {
      context
          .err()
          .println(
              "version "
                  + head.get().version()
                  + " was accepted in the meantime; changes from it to these rules:");
      RulesFiles.diff(acceptedText.get(), text).forEach(context.err()::println);
    }
  }

  /**
   * Waits until a version is in force at every member that is not leaving, but at most for the wait
   * time of the command, and prints the result.
   */
  private static int awaitInForce(CommandContext context, long version) {
    long deadlineMillis = System.currentTimeMillis() + context.waitSeconds() * 1_000L;
    List<String> lateMembers = new ArrayList<>();
    int memberCount = 0;
    do {
      Either<Failure, List<Member>> members = context.members().listMembers();
      if (members.isLeft()) {
        context.err().println("cornelctl: " + members.getLeft().message());
        break;
      }
      lateMembers.clear();
      memberCount = members.get().size();
      Map<String, Long> versions = context.members().fetchRulesVersions(members.get());
      for (Member member : members.get()) {
        if (versions.getOrDefault(member.id(), 0L) < version && !member.leaving()) {
          lateMembers.add(member.id());
        }
      }
      if (lateMembers.isEmpty()) {
        break;
      }
      sleep();
    } while (System.currentTimeMillis() < deadlineMillis);
    Applied result =
        new Applied(version, memberCount - lateMembers.size(), memberCount, lateMembers);
    context.print(
        result,
        "accepted as version "
            + version
            + "; members that have it in force: "
            + result.inForce()
            + " of "
            + memberCount
            + (lateMembers.isEmpty() ? "" : "; not yet in force at " + lateMembers));
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
