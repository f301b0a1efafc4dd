package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.WorkspaceUsage;
import org.cornelchute.core.outcome.Failure;

/** Shows what each workspace was given by all entries together. */
final class FairnessCommand implements Command {

  @Override
  public String name() {
    return "fairness";
  }

  @Override
  public String arguments() {
    return "[WORKSPACE]";
  }

  @Override
  public String summary() {
    return "show each workspace its share, its waits and how often it was passed over";
  }

  @Override
  public int run(CommandContext c, List<String> arguments) {
    Either<Failure, List<Member>> members = c.members().listMembers();
    if (members.isLeft()) {
      return c.fail(members.getLeft());
    }
    Map<String, WorkspaceUsage> shares = c.members().fetchUsages(members.get());
    long tokens = shares.values().stream().mapToLong(WorkspaceUsage::tokens).sum();
    long weights = shares.values().stream().mapToLong(WorkspaceUsage::weight).sum();
    if (!arguments.isEmpty()) {
      shares.keySet().retainAll(arguments);
    }
    StringBuilder text =
        new StringBuilder(
            String.format(
                "%-24s %7s %7s %9s %8s %8s %10s %9s %s",
                "WORKSPACE",
                "WEIGHT",
                "SHARE",
                "ANSWERED",
                "REFUSED",
                "UNKNOWN",
                "MEAN WAIT",
                "MAX WAIT",
                "PASSED OVER"));
    for (WorkspaceUsage s : shares.values()) {
      long sent = Math.max(1, s.answered() + s.unknown());
      text.append(
          String.format(
              Locale.ROOT,
              "%n%-24s %6.1f%% %6.1f%% %9d %8d %8d %7d ms %6d ms %d",
              s.workspace(),
              100.0 * s.weight() / Math.max(1, weights),
              100.0 * s.tokens() / Math.max(1, tokens),
              s.answered(),
              s.refused(),
              s.unknown(),
              s.waitMillis() / sent,
              s.maxWaitMillis(),
              s.passedOver()));
    }
    c.print(shares.values(), text.toString());
    return shares.isEmpty() && !arguments.isEmpty() ? ExitCode.FAILED : ExitCode.OK;
  }
}
