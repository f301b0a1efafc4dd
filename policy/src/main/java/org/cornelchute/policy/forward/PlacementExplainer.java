package org.cornelchute.policy.forward;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.policy.crash.CrashEvidence;
import org.cornelchute.policy.forward.CallAdmission.Admitted;
import org.cornelchute.policy.forward.CallAdmission.Refusal;
import org.cornelchute.policy.forward.EndpointPool.Choice;
import org.cornelchute.policy.forward.RouteSpec.WeightedService;

/** Explains where a call would be routed, with the decisions of {@link CallDecider}. */
final class PlacementExplainer {

  private final CallAdmission admission;
  private final EndpointPool endpointPool;
  private final EndpointSelector selector;
  private final LoadLimits loadLimits;
  private final CrashEvidence crashEvidence;

  PlacementExplainer(
      CallAdmission admission,
      EndpointPool endpointPool,
      EndpointSelector selector,
      LoadLimits loadLimits,
      CrashEvidence crashEvidence) {
    this.admission = admission;
    this.endpointPool = endpointPool;
    this.selector = selector;
    this.loadLimits = loadLimits;
    this.crashEvidence = crashEvidence;
  }

  /**
   * Explains where a call would be routed if it arrived now, and why. Changes nothing that later
   * decisions depend on: nothing is drawn, counted or recorded, and the call is not sent.
   *
   * @return one placement for each service that the route may pick
   */
  PlacementExplanation explain(long now, ServingConfig config, PlacementQuery query) {
    CallSpec spec = query.toCallSpec();
    Either<Refusal, Admitted> checked =
        admission.check(now, config, spec, config.findWorkspaceByName(query.workspace()));
    if (checked.isLeft()) {
      String route = config.findRoute(spec.host(), spec.path()).map(RouteSpec::name).orElse("");
      Refusal refusal = checked.getLeft();
      return PlacementExplanation.rejected(
          config.version(), route, refusal.rejection(), refusal.reason());
    }
    RouteSpec route = checked.get().route();
    WorkspaceSpec workspace = checked.get().workspace();
    List<ServicePlacement> placements = new ArrayList<>(route.services().size());
    for (WeightedService picked : route.services()) {
      placements.add(
          config
              .findService(picked.service())
              .map(s -> explainService(now, admission.preview(now, spec, checked.get(), s), picked))
              .orElseGet(() -> explainUnknownService(route, picked)));
    }
    return new PlacementExplanation(
        config.version(),
        route.name(),
        workspace == null ? "" : workspace.name(),
        Call.priority(route, workspace),
        placements,
        "",
        "");
  }

  private static ServicePlacement explainUnknownService(RouteSpec route, WeightedService picked) {
    Refusal refusal = CallAdmission.refuseUnknownService().getLeft();
    return ServicePlacement.of(picked.service(), route.shareOf(picked), 0, 0, List.of())
        .withRejection(refusal.rejection(), refusal.reason());
  }

  /** Explains a call that is not kept; follows {@link CallDecider#onCall}. */
  private ServicePlacement explainService(long now, Call call, WeightedService picked) {
    double maxLoad = loadLimits.ofNewCall(now, call);
    long minVersion = selector.requiredVersion(now, call);
    ServicePlacement placement =
        ServicePlacement.of(
            picked.service(),
            call.route.shareOf(picked),
            maxLoad,
            minVersion,
            endpointPool.explain(now, selector.requirements(now, call, maxLoad, minVersion)));
    if (crashEvidence.wouldBlock(now, call.spec.sharedParts())) {
      return placement.withRejection(
          Rejection.BLOCKED_PROMPT, "parts=" + CallLog.formatParts(call));
    }
    if (!call.spec.sharedParts().isEmpty() && crashEvidence.wouldLackStored(now)) {
      return placement.withRejection(Rejection.NOT_READY, "blocked parts are not known yet");
    }
    Choice choice = selector.choose(now, call, maxLoad);
    return choice
        .endpoint()
        .map(endpoint -> placement.withChoice(endpoint.spec.id()))
        .orElseGet(() -> explainWithoutChoice(now, call, maxLoad, choice, placement));
  }

  private ServicePlacement explainWithoutChoice(
      long now, Call call, double maxLoad, Choice choice, ServicePlacement placement) {
    if (selector.lacksOnlyVersionAge(now, call, maxLoad)) {
      return placement.withRejection(
          Rejection.NOT_READY, "age of the weights version is not known");
    }
    if (endpointPool.mayLackEndpoints(now, call.service.name())) {
      return placement.withRejection(
          Rejection.NOT_READY, "endpoints of the service are not known yet");
    }
    if (choice.eligibleCount() == 0) {
      long pauseMillis = selector.pauseEnd(now, call) - now;
      return placement.withRejection(
          Rejection.NO_ENDPOINT,
          pauseMillis > 0
              ? "all endpoints pause, the first for ms=" + pauseMillis
              : "no endpoint is eligible");
    }
    long queueMillis = loadLimits.maxQueueMillis(now, call);
    return queueMillis > 0
        ? placement.withQueueTime(queueMillis)
        : placement.withRejection(Rejection.OVERLOADED, LoadLimits.noRoom(choice, maxLoad));
  }
}
