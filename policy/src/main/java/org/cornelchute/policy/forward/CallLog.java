package org.cornelchute.policy.forward;

import java.util.List;
import java.util.stream.Collectors;
import org.cornelchute.core.log.Decision;
import org.cornelchute.policy.crash.CrashEvidence.PartChange;
import org.cornelchute.policy.forward.EndpointPool.Choice;
import org.cornelchute.policy.load.SpeedEstimate;

/** Builds the lines of the decision log on calls, with the version of the configuration in use. */
final class CallLog {

  private long configVersion;

  void updateConfigVersion(long version) {
    configVersion = version;
  }

  /** Returns a line on a call and its current attempt. */
  CallEffect call(String kind, Call call, String reason) {
    return attempt(kind, call, call.current, reason);
  }

  /**
   * Returns a line on a call and one of its attempts.
   *
   * @param attempt the attempt, null if there is none
   */
  CallEffect attempt(String kind, Call call, Attempt attempt, String reason) {
    int number = attempt == null ? call.lastAttempt : attempt.number;
    return new CallEffect.Log(
        call.spec.number(),
        new Decision(
            kind,
            call.spec.id(),
            call.workspace == null ? "" : call.workspace.name(),
            List.of(),
            attempt == null ? "" : attempt.endpoint.spec.id(),
            call.route.name() + " attempt=" + number + " " + reason,
            configVersion));
  }

  /**
   * Returns a line on an attempt that was sent, with the load that its endpoint has then, and its
   * speed and the time saved by a cached prefix if they count.
   *
   * @param versions what is known of the weights, empty for services without an engine
   */
  CallEffect dispatch(
      long now, Call call, Attempt attempt, double load, Choice choice, String versions) {
    StringBuilder reason = new StringBuilder("load=").append(round(load, 10));
    reason.append(" allowed=").append(choice.eligibleCount());
    double slowdown = round(attempt.endpoint.speed.slowdown(now), 100);
    if (slowdown != SpeedEstimate.NORMAL) {
      reason.append(" slowdown=").append(slowdown);
    }
    if (choice.savedMillis() > 0) {
      reason.append(" savedMs=").append(Math.round(choice.savedMillis()));
    }
    reason.append(versions);
    return attempt("route", call, attempt, reason.toString());
  }

  private static double round(double value, double perUnit) {
    return Math.round(value * perUnit) / perUnit;
  }

  /** Returns a line that tells what calls that broke off at one endpoint may have in common. */
  CallEffect broken(Call call, Attempt attempt, String reason) {
    return attempt(
        "broken",
        call,
        attempt,
        "begun=" + attempt.hasBegun() + " parts=" + formatParts(call) + " " + reason);
  }

  /** Returns a line on the end of an endpoint, confirmed after an attempt had no response. */
  CallEffect crashed(Call call, Attempt attempt, String reason) {
    return attempt("crashed", call, attempt, "parts=" + formatParts(call) + " " + reason);
  }

  /** Returns a line on a call that was rejected when it arrived. */
  CallEffect rejectedOnArrival(CallSpec spec, CallAdmission.Refusal refusal, long ageMillis) {
    String reason =
        refusal.rejection()
            + ": "
            + refusal.reason()
            + " ageMs="
            + Math.min(ageMillis, Integer.MAX_VALUE);
    return line(spec.number(), "refuse", spec.id(), reason);
  }

  /** Returns a line on the limit that an endpoint names. */
  CallEffect namedLimit(Endpoint endpoint, NamedLimit limit) {
    return line("limit", endpoint.spec.id(), limit.kind() + " perSecond=" + limit.perSecond());
  }

  /** Returns a line on what an endpoint said about further calls to it. */
  CallEffect notice(EndpointSpec endpoint, EndpointNotice notice) {
    return line(
        "notice",
        endpoint.id(),
        "leaving=" + notice.leaving() + " pauseMs=" + notice.pauseMillis());
  }

  /** Returns a line on a part of prompts that became blocked or was cleared. */
  CallEffect partChange(PartChange change) {
    return line(
        change.blocked() ? "block" : "clear",
        Long.toHexString(change.part()),
        "part of prompts, crashes=" + change.crashCount());
  }

  /** Returns the shared parts of the prompt of a call. */
  static String formatParts(Call call) {
    return call.spec.sharedParts().stream().map(Long::toHexString).collect(Collectors.joining(","));
  }

  private CallEffect line(String kind, String subject, String reason) {
    return line(0, kind, subject, reason);
  }

  private CallEffect line(long call, String kind, String subject, String reason) {
    return new CallEffect.Log(
        call, new Decision(kind, subject, "", List.of(), "", reason, configVersion));
  }
}
