package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.forward.CandidateExplanation;
import org.cornelchute.policy.forward.Exclusion;
import org.cornelchute.policy.forward.PlacementExplanation;
import org.cornelchute.policy.forward.ServicePlacement;

/** Shows where an entry would route a call now, and why, without sending it. */
final class WhereCommand implements Command {

  private static final double PERCENT = 100.0;

  @Override
  public String name() {
    return "where";
  }

  @Override
  public String arguments() {
    return "HOST/PATH";
  }

  @Override
  public String summary() {
    return "explain where an entry would route a call now, without sending it";
  }

  @Override
  public int run(CommandContext context, List<String> arguments) {
    String target = arguments.get(0);
    int slash = target.indexOf('/');
    if (slash <= 0) {
      return context.fail(
          Failure.invalid("'" + target + "' is not HOST/PATH, such as api.example/v1/draft"));
    }
    String query = context.call().toQuery(target.substring(0, slash), target.substring(slash));
    Either<Failure, PlacementExplanation> explanation = context.members().explainPlacement(query);
    if (explanation.isLeft()) {
      return context.fail(explanation.getLeft());
    }
    context.print(explanation.get(), format(explanation.get()));
    return ExitCode.OK;
  }

  private static String format(PlacementExplanation explanation) {
    StringBuilder text = new StringBuilder();
    text.append("route ").append(orNone(explanation.route()));
    if (explanation.priority() >= 0) {
      text.append(", priority ").append(explanation.priority());
    }
    text.append(", workspace ").append(orNone(explanation.workspace()));
    text.append(", configuration ").append(explanation.configVersion());
    if (!explanation.rejection().isEmpty()) {
      appendRejection(text, explanation.rejection(), explanation.reason());
    }
    explanation.services().forEach(placement -> appendPlacement(text, placement));
    return text.toString();
  }

  private static void appendPlacement(StringBuilder text, ServicePlacement placement) {
    text.append(
        String.format(
            Locale.ROOT,
            "%nservice %s, %.1f%% of the calls, load per slot below %.2f, weights from version %d",
            placement.service(),
            PERCENT * placement.share(),
            placement.maxLoadPerSlot(),
            placement.minVersion()));
    text.append(
        String.format(
            "%n  %-24s %-16s %5s %7s %7s %8s %9s %8s %s",
            "ENDPOINT",
            "DOMAIN",
            "SLOTS",
            "WEIGHTS",
            "LOAD",
            "SLOWDOWN",
            "SAVING",
            "SCORE",
            "EXCLUDED"));
    placement.candidates().forEach(candidate -> appendCandidate(text, candidate));
    if (!placement.choice().isEmpty()) {
      text.append(String.format("%n  sent to %s", placement.choice()));
    } else if (placement.queuedMillis() > 0) {
      text.append(String.format("%n  waits up to %d ms for a free slot", placement.queuedMillis()));
    } else {
      appendRejection(text, placement.rejection(), placement.reason());
    }
  }

  private static void appendCandidate(StringBuilder text, CandidateExplanation candidate) {
    text.append(
        String.format(
            Locale.ROOT,
            "%n  %-24s %-16s %5d %7d %7.1f %8.2f %6.0f ms %8.3f %s",
            candidate.endpoint(),
            candidate.domain(),
            candidate.slots(),
            candidate.version(),
            candidate.load(),
            candidate.slowdown(),
            candidate.savingMillis(),
            candidate.score(),
            candidate.exclusion() == Exclusion.NONE ? "" : candidate.exclusion().text()));
  }

  private static void appendRejection(StringBuilder text, String rejection, String reason) {
    text.append(String.format("%n  rejected: %s, %s", rejection, reason));
  }

  private static String orNone(String name) {
    return name.isEmpty() ? "-" : name;
  }
}
