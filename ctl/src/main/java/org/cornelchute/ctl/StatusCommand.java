package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;

/** Shows the members, what they serve and the rules version in force at each of them. */
final class StatusCommand implements Command {

  private static final int DIGEST_CHARS = 8;
  private static final long WATCH_INTERVAL_MILLIS = 1_000;

  private final boolean watch;

  StatusCommand(boolean watch) {
    this.watch = watch;
  }

  @Override
  public String name() {
    return watch ? "watch" : "status";
  }

  @Override
  public String arguments() {
    return "";
  }

  @Override
  public String summary() {
    return watch
        ? "show the status every second until interrupted"
        : "show members and rollout progress";
  }

  @Override
  public int run(CommandContext context, List<String> arguments) {
    int code;
    do {
      code = show(context);
      if (watch) {
        try {
          Thread.sleep(WATCH_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
          return code;
        }
      }
    } while (watch && code == ExitCode.OK);
    return code;
  }

  private int show(CommandContext context) {
    Either<Failure, List<Member>> members = context.members().listMembers();
    if (members.isLeft()) {
      return context.fail(members.getLeft());
    }
    List<Member> sorted = new ArrayList<>(members.get());
    sorted.sort((left, right) -> left.id().compareTo(right.id()));
    StringBuilder text =
        new StringBuilder(
            String.format(
                "%-20s %-6s %-16s %-7s %-30s %s",
                "MEMBER", "ROLE", "DOMAIN", "RULES", "SERVES", "FETCHING"));
    final Map<String, Long> versions = context.members().fetchRulesVersions(sorted);
    int upToDate = 0;
    int replicas = 0;
    for (Member member : sorted) {
      String serves =
          member.generation().model().isEmpty()
              ? member.service()
              : member.generation().model() + "@" + shortDigest(member.generation().manifest());
      boolean fetching =
          !member.wants().isEmpty() && !member.wants().equals(member.generation().manifest());
      replicas += member.wants().isEmpty() ? 0 : 1;
      upToDate += member.wants().isEmpty() || fetching ? 0 : 1;
      text.append(
          String.format(
              "%n%-20s %-6s %-16s %-7d %-30s %s",
              member.id() + (member.leaving() ? " (leaving)" : ""),
              member.role().name().toLowerCase(Locale.ROOT),
              member.domain(),
              versions.getOrDefault(member.id(), 0L),
              serves,
              fetching ? shortDigest(member.wants()) : ""));
    }
    text.append(String.format("%nreplicas on the wanted version: %d of %d", upToDate, replicas));
    context.print(sorted, text.toString());
    return ExitCode.OK;
  }

  private static String shortDigest(String digest) {
    return digest.substring(0, Math.min(DIGEST_CHARS, digest.length()));
  }
}
