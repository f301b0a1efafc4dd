package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.WorkspaceUsage;
import org.cornelchute.core.outcome.Failure;

/** Shows the usage of each workspace, summed over all entries. */
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
    return "show share and wait times of each workspace, and how often it was passed over";
  }

  @Override
  public int run(CommandContext context, List<String> arguments) {
    Either<Failure, List<Member>> members = context.members().listMembers();
    if (members.isLeft()) {
      return context.fail(members.getLeft());
    }
    Map<String, WorkspaceUsage> usages = context.members().fetchUsages(members.get());
    long totalTokens = usages.values().stream().mapToLong(WorkspaceUsage::tokens).sum();
    long totalWeight = usages.values().stream().mapToLong(WorkspaceUsage::weight).sum();
    if (!arguments.isEmpty()) {
      usages.keySet().retainAll(arguments);
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
    for (WorkspaceUsage usage : usages.values()) {
      long sent = Math.max(1, usage.answered() + usage.unknown());
      text.append(
          String.format(
              Locale.ROOT,
              "%n%-24s %6.1f%% %6.1f%% %9d %8d %8d %7d ms %6d ms %d",
              usage.workspace(),
              100.0 * usage.weight() / Math.max(1, totalWeight),
              100.0 * usage.tokens() / Math.max(1, totalTokens),
              usage.answered(),
              usage.refused(),
              usage.unknown(),
              usage.waitMillis() / sent,
              usage.maxWaitMillis(),
              usage.passedOver()));
    }
    context.print(usages.values(), text.toString());
    return usages.isEmpty() && !arguments.isEmpty() ? ExitCode.FAILED : ExitCode.OK;
  }
}
