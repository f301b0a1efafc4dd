package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.policy.forward.EndpointBook.Choice;
import org.cornelchute.policy.forward.EndpointBook.Need;
import org.cornelchute.policy.forward.RouteSpec.WeightedService;

/**
 * Brings every call of one entry to exactly one final answer.
 *
 * <p>Whether the bytes of an attempt may have left is a fact that the duty reports. Only a call of
 * which nothing can have run is refused as not run; only one that may be repeated, or that an
 * endpoint says it did not run, is sent again, inside the route's attempts and this entry's part of
 * the service's repeats.
 */
public final class CallDecider {

  /** Time without a byte from an endpoint after which a stream that waits for it goes elsewhere. */
  private static final long SILENCE_MILLIS = 900;

  /** Least time left in which sending a call again can still be of use. */
  private static final long USEFUL_MILLIS = 60;

  /** Longest time after which a refused caller is asked back. */
  private static final long RETRY_AFTER_MILLIS = 2_000;

  /** Part of the time that a caller has left after which it is asked back; it honours a third. */
  private static final double RETRY_AFTER_SHARE = 0.32;

  /** Least part of that time, so that callers that are refused together do not return together. */
  private static final double RETRY_AFTER_SPREAD = 0.6;

  /** Time after which a caller is asked back that another entry may serve, and its spread. */
  private static final long SOON_MILLIS = 20;

  private static final int SOON_SPREAD_MILLIS = 30;

  private static final long DAY_MILLIS = 86_400_000;
  private static final int OK = 200;
  private static final int MULTIPLE = 300;
  private static final int SERVER_ERROR = 500;

  /** Time until a version of unknown age is required. */
  private static final long UNKNOWN_AGE_MILLIS = 2_000;

  /** Load per slot up to which plain services take calls that can still be answered in time. */
  private static final double FULL = 1.0;

  /**
   * The same for engines, where all that run slow each other down and others' load is estimated.
   */
  private static final double FULL_ENGINE = 0.95;

  /** Load per slot up to which they take calls that come late in any case. */
  private static final double FULL_FOR_LATE = 0.6;

  /** Load per slot up to which they take calls that were sent before and may be repeated. */
  private static final double FULL_FOR_REPEATS = 1.25;

  /** Part of the time until a call comes late in which it may wait for room. */
  private static final double WAIT_SHARE = 0.5;

  /** Time until a call comes late below which it is held to come late in any case. */
  private static final long HOPELESS_MILLIS = 60;

  /** How much shorter a caller's deadline may be than the usual one on its first call. */
  private static final long DEADLINE_SLACK_MILLIS = 100;

  private final CallOptions options;
  private final EndpointBook book;
  private final Freshness freshness = new Freshness();
  private final OtherEntries others = new OtherEntries();
  private final VersionGate versions;
  private final RetryBudget budget;
  private final Random random;
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private final List<Call> waiting = new ArrayList<>();
  private final Map<String, Long> usualDeadlines = new HashMap<>();
  private ServingConfig config = ServingConfig.EMPTY;
  private boolean updateEndpoints;

  /** Creates a decider that knows nothing yet. */
  public CallDecider(CallOptions options, long seed) {
    this.options = options;
    this.book = new EndpointBook(options);
    this.versions = new VersionGate();
    this.budget =
        new RetryBudget(
            options.retryRatio(), options.retryAllowance(), options.retryWindowMillis());
    this.random = new Random(seed);
  }

  // Accessors

  /** Returns the number of calls without a final answer. */
  public int openCallCount() {
    return calls.size();
  }

  /** Returns whether configuration and endpoints are known. */
  public boolean isReady() {
    return config.version() > 0 && updateEndpoints;
  }

  /** Returns the configuration in force, never null. */
  public ServingConfig config() {
    return config;
  }

  // Beliefs

  /** Takes a configuration; one that is not newer is passed over. */
  public void updateConfig(ServingConfig offered) {
    if (offered.version() > config.version()) {
      config = offered;
    }
  }

  /** Takes the whole list of endpoints. */
  public void updateEndpoints(long now, Collection<EndpointSpec> endpoints) {
    book.listed(now, endpoints);
    updateEndpoints = true;
  }

  /** Notes that the list of endpoints can be had again after an outage. */
  public void onDirectoryRecovered(long now) {
    book.regained(now);
  }

  /** Takes the failure domains that are out of service. */
  public void updateEvacuatedDomains(Set<String> domains) {
    book.evacuated(domains);
  }

  /** Takes a version of a model's weights that operators named. */
  public void recordVersion(long learnt, String model, long version) {
    versions.named(learnt, model, version);
  }

  /** Takes a version of unknown age: it is required after a short time rather than too late. */
  public void recordVersionOfUnknownAge(long now, String model, long version) {
    versions.named(now - options.versionGraceMillis() + UNKNOWN_AGE_MILLIS, model, version);
  }

  /** Takes the hosts whose engines change over to other weights, and how. */
  public void updateWeightsSwitches(long now, Map<String, WeightsSwitch> changeByHost) {
    book.changing(now, changeByHost);
  }

  /** Takes the entries that send to the same endpoints. */
  public void updateEntries(Collection<String> names) {
    book.entries(names);
  }

  /** Returns this entry's open calls, for the other entries. */
  public List<OpenCalls> openCalls() {
    return book.openCalls();
  }

  /** Takes what another entry has open, and how long ago the store confirmed its configuration. */
  public void recordEntryReport(long now, String entry, long ageMillis, List<OpenCalls> open) {
    others.heard(now, entry, ageMillis);
    book.shared(now, entry, open);
  }

  /** Returns how long ago the store confirmed the configuration, at most a day. */
  public long configAgeMillis(long now) {
    return Math.min(freshness.age(now), DAY_MILLIS);
  }

  /**
   * Returns whether new callers are better sent to other entries, since this one is out of touch
   * with the store and they are not.
   */
  public boolean shouldDivertCalls(long now) {
    return config.requiresKeys()
        && freshness.age(now) > options.maxKeyAgeMillis()
        && others.maySucceed(now, options.maxKeyAgeMillis());
  }

  /** Takes a confirmation that configuration and domains are as the store has them. */
  public void recordConfirmation(long askedAt) {
    freshness.confirm(askedAt);
  }

  /**
   * Compares the steady clock with the time of day; see {@link Freshness}.
   *
   * @return whether beliefs must be confirmed anew
   */
  public boolean detectSuspension(long now, long wallMillis) {
    return freshness.observe(now, wallMillis);
  }

  // Calls

  /** Handles a new call. */
  public List<CallEffect> onCall(long now, CallSpec spec) {
    List<CallEffect> effects = new ArrayList<>(3);
    long age = freshness.age(now);
    if (!isReady()) {
      turnAway(now, effects, spec, Rejection.NOT_READY, "no configuration known", age);
      return effects;
    }
    Optional<RouteSpec> route = config.findRoute(spec.host(), spec.path());
    if (route.isEmpty()) {
      deny(now, effects, spec, Rejection.UNKNOWN_ROUTE, "no route takes host and path", age);
      return effects;
    }
    WorkspaceSpec workspace = null;
    if (config.requiresKeys() && !route.get().anonymous()) {
      Optional<WorkspaceSpec> found = config.findWorkspace(spec.key());
      if (found.isEmpty()) {
        deny(now, effects, spec, Rejection.UNKNOWN_KEY, "no workspace holds the key", age);
        return effects;
      }
      if (age > options.maxKeyAgeMillis()) {
        turnAway(now, effects, spec, Rejection.NOT_READY, "keys are not confirmed", age);
        return effects;
      }
      workspace = found.get();
    }
    Optional<ServiceSpec> service = pickService(route.get());
    if (service.isEmpty()) {
      turnAway(now, effects, spec, Rejection.NO_ENDPOINT, "the route names no known service", age);
      return effects;
    }
    Call c =
        new Call(
            spec,
            route.get(),
            service.get(),
            workspace,
            regions(route.get(), workspace),
            waitedBefore(route.get(), spec),
            now);
    calls.put(spec.number(), c);
    budget.fresh(now, c.service.name());
    place(now, effects, c, c.untilLate(now) < HOPELESS_MILLIS ? FULL_FOR_LATE : full(c));
    return effects;
  }

  /** Handles the beginning of an endpoint's answer. */
  public List<CallEffect> onResponseHead(long now, long number, int attempt, ResponseHead head) {
    List<CallEffect> effects = new ArrayList<>(3);
    Call c = find(number, attempt);
    if (c == null) {
      return effects;
    }
    c.lastProgress = now;
    Endpoint e = c.endpoint;
    book.heard(now, e);
    if (head.running() >= 0) {
      e.sample(now, head.running(), head.queued());
    }
    if (head.version() > 0) {
      e.version = head.version();
    }
    if (head.notExecuted() || head.instanceMismatch()) {
      refusedByEndpoint(now, effects, c, head);
    } else if (head.status() >= SERVER_ERROR && !c.streaming && mayRepeat(now, c)) {
      effects.add(new CallEffect.CancelAttempt(number, attempt));
      again(now, effects, c, "endpoint answered " + head.status());
    } else if (head.status() >= OK && head.status() < MULTIPLE && !head.signed()) {
      effects.add(new CallEffect.CancelAttempt(number, attempt));
      c.mayHaveRun = true;
      lost(now, effects, c, "a success without signature");
    } else if (head.status() >= OK && head.status() < MULTIPLE) {
      if (c.route.kind() == CallKind.STREAM) {
        c.streaming = true;
        c.version = head.version();
        effects.add(new CallEffect.StartStream(number, attempt));
      }
    } else if (c.streaming) {
      cut(effects, c, "the endpoint did not resume the stream: " + head.status());
    }
    admit(now, effects);
    return effects;
  }

  /** Notes events passed on to the caller. */
  public void onResponseProgress(long now, long number, int attempt, long lastEvent) {
    Call c = find(number, attempt);
    if (c != null) {
      c.lastProgress = now;
      c.lastEvent = Math.max(c.lastEvent, lastEvent);
      c.endpoint.lastHeard = now;
    }
  }

  /** Handles the whole end of an endpoint's answer. */
  public List<CallEffect> onResponseEnd(long now, long number, int attempt) {
    List<CallEffect> effects = new ArrayList<>(2);
    Call c = find(number, attempt);
    if (c != null) {
      effects.add(new CallEffect.Complete(number, attempt));
      log(effects, "answered", c, "ms=" + (now - c.arrived));
      forget(c);
      admit(now, effects);
    }
    return effects;
  }

  /**
   * Handles an attempt that ended without a whole answer.
   *
   * @param sent whether any of its bytes may have left
   */
  public List<CallEffect> onAttemptFailure(
      long now, long number, int attempt, boolean sent, String why) {
    List<CallEffect> effects = new ArrayList<>(3);
    Call c = find(number, attempt);
    if (c == null) {
      return effects;
    }
    book.strike(now, c.endpoint);
    if (!sent) {
      c.reached--;
      again(now, effects, c, why);
      return effects;
    }
    c.mayHaveRun = true;
    lost(now, effects, c, why);
    admit(now, effects);
    return effects;
  }

  /** Handles a caller that went away. */
  public List<CallEffect> onCallerDisconnect(long now, long number) {
    List<CallEffect> effects = new ArrayList<>(2);
    Call c = calls.get(number);
    if (c != null) {
      if (c.endpoint != null) {
        effects.add(new CallEffect.CancelAttempt(number, c.attempt));
      }
      log(effects, "gone", c, "caller left after ms=" + (now - c.arrived));
      forget(c);
      admit(now, effects);
    }
    return effects;
  }

  /** Ends calls whose time is up and moves streams away from silent endpoints. */
  public List<CallEffect> sweep(long now) {
    List<CallEffect> effects = new ArrayList<>();
    book.sweep(now);
    for (Call c : new ArrayList<>(calls.values())) {
      if (now >= c.end) {
        expire(now, effects, c);
      } else if (c.waitsUntil > 0) {
        if (now >= c.waitsUntil) {
          giveUp(now, effects, c, Rejection.OVERLOADED, "no room in " + (now - c.arrived) + " ms");
        }
      } else if (!c.streaming && isOutdated(now, c)) {
        effects.add(new CallEffect.CancelAttempt(c.spec.number(), c.attempt));
        c.mayHaveRun = true;
        lost(now, effects, c, "endpoint still has version " + c.endpoint.version);
      } else if (c.route.isRetryable() && isSilent(now, c)) {
        book.strike(now, c.endpoint);
        if (mayRepeat(now, c)) {
          effects.add(new CallEffect.CancelAttempt(c.spec.number(), c.attempt));
          c.mayHaveRun = true;
          again(now, effects, c, "endpoint silent for " + (now - c.endpoint.lastHeard) + " ms");
        }
      }
    }
    admit(now, effects);
    return effects;
  }

  // Attempts

  /** Sends calls that wait for room, the most urgent first, as far as there is room. */
  private void admit(long now, List<CallEffect> effects) {
    Set<String> full = new HashSet<>();
    for (Call c : List.copyOf(waiting)) {
      if (full.contains(c.service.name()) || c.waitsUntil == 0) {
        continue;
      }
      Choice choice = choose(now, c, full(c));
      if (choice.endpoint().isPresent()) {
        waiting.remove(c);
        c.waitsUntil = 0;
        dispatch(now, effects, c, choice);
      } else {
        full.add(c.service.name());
      }
    }
  }

  private static double full(Call c) {
    return c.service.engine().isPresent() ? FULL_ENGINE : FULL;
  }

  /**
   * Lets a call wait for room if it can then still be answered in time.
   *
   * <p>Not for engines: their first event takes most of the time allowed, so that what waited comes
   * late and takes the place of a call that would not.
   */
  private boolean enqueue(long now, Call c) {
    long wait = (long) (c.untilLate(now) * WAIT_SHARE);
    if (wait <= 0 || c.reached > 0 || c.service.engine().isPresent()) {
      return false;
    }
    c.waitsUntil = now + wait;
    int at = waiting.size();
    while (at > 0 && waiting.get(at - 1).priority() > c.priority()) {
      at--;
    }
    waiting.add(at, c);
    return true;
  }

  private void place(long now, List<CallEffect> effects, Call c, double limit) {
    Choice choice = choose(now, c, limit);
    if (choice.endpoint().isPresent()) {
      dispatch(now, effects, c, choice);
    } else if (choice.allowed() == 0) {
      giveUp(now, effects, c, Rejection.NO_ENDPOINT, "no endpoint may serve it");
    } else if (!enqueue(now, c)) {
      giveUp(now, effects, c, Rejection.OVERLOADED, "no room, allowed=" + choice.allowed());
    }
  }

  private Choice choose(long now, Call c, double limit) {
    long version = c.streaming ? c.version : 0;
    return book.choose(
        now,
        new Need(
            c.service,
            c.regions,
            required(now, c, options.versionGraceMillis()),
            version,
            limit,
            c.tried));
  }

  private long required(long now, Call c, long graceMillis) {
    return c.service.engine().map(e -> versions.required(now, e.model(), graceMillis)).orElse(0L);
  }

  private void dispatch(long now, List<CallEffect> effects, Call c, Choice choice) {
    Endpoint e = choice.endpoint().get();
    c.endpoint = e;
    c.attempt++;
    c.reached++;
    c.dispatched = now;
    c.lastProgress = now;
    c.tried.add(e.spec.id());
    e.own++;
    e.sent.add(now);
    long left = c.end - now;
    long expected =
        required(now, c, options.versionGraceMillis()) > 0 || c.streaming ? e.version : 0;
    int connections = Math.max(2, c.service.maxConnections() * 9 / 10 / book.entries());
    effects.add(
        new CallEffect.Dispatch(
            c.spec.number(),
            c.attempt,
            e.spec,
            connections,
            left,
            c.priority(),
            c.workspace == null ? "" : c.workspace.name(),
            expected,
            c.lastEvent));
    log(
        effects,
        "route",
        c,
        "load=" + round(e.load(now, book.entries())) + " allowed=" + choice.allowed());
  }

  private void refusedByEndpoint(long now, List<CallEffect> effects, Call c, ResponseHead head) {
    effects.add(new CallEffect.CancelAttempt(c.spec.number(), c.attempt));
    book.strike(now, c.endpoint);
    again(now, effects, c, "endpoint refused with " + head.status());
  }

  private void lost(long now, List<CallEffect> effects, Call c, String why) {
    if (mayRepeat(now, c)) {
      again(now, effects, c, why);
    } else if (c.streaming) {
      cut(effects, c, why);
    } else {
      giveUp(now, effects, c, Rejection.ANSWER_LOST, why);
    }
  }

  /** Sends a call once more if attempts, budget and time allow, or gives it up. */
  private void again(long now, List<CallEffect> effects, Call c, String why) {
    boolean counted = c.reached > 0;
    release(c);
    log(effects, "again", c, why);
    if (c.reached >= c.route.maxAttempts() || c.end - now < USEFUL_MILLIS) {
      giveUp(now, effects, c, Rejection.OVERLOADED, "no attempt left: " + why);
    } else if (counted && !budget.spend(now, c.service.name(), book.entries())) {
      giveUp(now, effects, c, Rejection.OVERLOADED, "repeats are spent: " + why);
    } else {
      place(now, effects, c, FULL_FOR_REPEATS);
    }
  }

  private boolean mayRepeat(long now, Call c) {
    return c.route.isRetryable()
        && c.reached < c.route.maxAttempts()
        && c.end - now >= USEFUL_MILLIS;
  }

  /** Returns whether a call did not begin in time on weights that have been superseded. */
  private boolean isOutdated(long now, Call c) {
    return c.endpoint.version < required(now, c, options.versionCutoffMillis());
  }

  private static boolean isSilent(long now, Call c) {
    long heard = Math.max(c.endpoint.lastHeard, c.dispatched);
    return c.route.kind() == CallKind.STREAM
        && now - c.lastProgress >= SILENCE_MILLIS
        && now - heard >= SILENCE_MILLIS;
  }

  // Final answers

  private void expire(long now, List<CallEffect> effects, Call c) {
    if (c.endpoint != null) {
      effects.add(new CallEffect.CancelAttempt(c.spec.number(), c.attempt));
      c.mayHaveRun = true;
    }
    if (c.streaming) {
      cut(effects, c, "time is up");
    } else {
      giveUp(
          now,
          effects,
          c,
          c.mayHaveRun ? Rejection.EXPIRED_SENT : Rejection.EXPIRED_UNSENT,
          "no answer after " + (now - c.arrived) + " ms");
    }
  }

  private void cut(List<CallEffect> effects, Call c, String why) {
    effects.add(new CallEffect.AbortResponse(c.spec.number(), why));
    log(effects, "cut", c, why);
    forget(c);
  }

  private void giveUp(long now, List<CallEffect> effects, Call c, Rejection rejection, String why) {
    if (c.streaming) {
      cut(effects, c, why);
      return;
    }
    Rejection said =
        rejection.guaranteesNotExecuted() && c.mayHaveRun ? Rejection.ANSWER_LOST : rejection;
    effects.add(
        new CallEffect.Reject(
            c.spec.number(), said, retryAfter(c.arrived + c.spec.deadlineMillis() - now), why));
    log(effects, "refuse", c, said + ": " + why);
    forget(c);
  }

  private void deny(
      long now,
      List<CallEffect> effects,
      CallSpec spec,
      Rejection rejection,
      String why,
      long age) {
    boolean sure = age <= options.maxDenialAgeMillis();
    turnAway(now, effects, spec, sure ? rejection : Rejection.NOT_READY, why, age);
  }

  private void turnAway(
      long now,
      List<CallEffect> effects,
      CallSpec spec,
      Rejection rejection,
      String why,
      long age) {
    boolean elsewhere =
        rejection == Rejection.NOT_READY && others.maySucceed(now, options.maxKeyAgeMillis());
    long retry = elsewhere ? soon() : retryAfter(spec.deadlineMillis());
    effects.add(new CallEffect.Reject(spec.number(), rejection, retry, why));
    String reason = rejection + ": " + why + " ageMs=" + Math.min(age, Integer.MAX_VALUE);
    effects.add(
        new CallEffect.Log(
            new Decision("refuse", spec.id(), "", List.of(), "", reason, config.version())));
  }

  /** Returns when to ask again: as late as callers accept, since what refuses them lasts. */
  private long retryAfter(long leftMillis) {
    double most = Math.min(RETRY_AFTER_MILLIS, RETRY_AFTER_SHARE * Math.max(0, leftMillis));
    double spread = RETRY_AFTER_SPREAD + (1 - RETRY_AFTER_SPREAD) * random.nextDouble();
    return Math.round(most * spread);
  }

  /** Returns when to ask again where another entry may serve the call: callers reach others. */
  private long soon() {
    return SOON_MILLIS + random.nextInt(SOON_SPREAD_MILLIS);
  }

  // Helpers

  /** Returns how long a caller has waited already, from how much less it still waits than usual. */
  private long waitedBefore(RouteSpec route, CallSpec spec) {
    long usual = usualDeadlines.merge(route.name(), spec.deadlineMillis(), Math::max);
    long waited = usual - spec.deadlineMillis();
    return waited > DEADLINE_SLACK_MILLIS ? waited : 0;
  }

  private Optional<ServiceSpec> pickService(RouteSpec route) {
    List<WeightedService> shares = route.services();
    double all = 0;
    for (WeightedService s : shares) {
      all += s.weight();
    }
    double point = shares.size() == 1 ? 0 : random.nextDouble() * all;
    for (WeightedService s : shares) {
      point -= s.weight();
      if (point < 0 || shares.size() == 1) {
        return config.findService(s.service());
      }
    }
    return Optional.empty();
  }

  private static Set<String> regions(RouteSpec route, WorkspaceSpec workspace) {
    Set<String> regions = new HashSet<>(route.regions());
    if (workspace != null && !workspace.regions().isEmpty()) {
      if (regions.isEmpty()) {
        regions.addAll(workspace.regions());
      } else {
        regions.retainAll(workspace.regions());
        // No region suits both: a name that no endpoint has keeps the call from all of them.
        if (regions.isEmpty()) {
          regions.add("");
        }
      }
    }
    return regions;
  }

  private Call find(long number, int attempt) {
    Call c = calls.get(number);
    return c == null || c.endpoint == null || c.attempt != attempt ? null : c;
  }

  private static void release(Call c) {
    if (c.endpoint != null) {
      c.endpoint.own--;
      c.endpoint = null;
    }
  }

  private void forget(Call c) {
    release(c);
    if (c.waitsUntil > 0) {
      c.waitsUntil = 0;
      waiting.remove(c);
    }
    calls.remove(c.spec.number());
  }

  private void log(List<CallEffect> effects, String kind, Call c, String reason) {
    effects.add(
        new CallEffect.Log(
            new Decision(
                kind,
                c.spec.id(),
                c.workspace == null ? "" : c.workspace.name(),
                List.of(),
                c.endpoint == null ? "" : c.endpoint.spec.id(),
                c.route.name() + " attempt=" + c.attempt + " " + reason,
                config.version())));
  }

  private static double round(double value) {
    return Math.round(value * 10) / 10.0;
  }
}
